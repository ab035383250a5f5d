import type {RunEnd} from '@bergamotgauge/jobs';

/** Simulated behaviour of a unit. */
export type UnitBehaviour = Readonly<{
	runMs: number;
	how: RunEnd;
	/** For long-running units: time after which the unit is serving. */
	startupMs?: number;
	/** The worker crashes at the end of the run time. */
	crashesWorker?: boolean;
}>;

/** A run on a simulated worker. */
export type ModelRun = {
	readonly unit: string;
	readonly run: number;
	readonly behaviour: UnitBehaviour;
	/** Time at which it began to work; `undefined` while it waits for the other members of its gang. */
	beganMs: number | undefined;
	timer: NodeJS.Timeout | undefined;
	/** Called when the run has ended. */
	leaveGang: (how: RunEnd) => void;
};

export const createModelRun = (unit: string, run: number, behaviour: UnitBehaviour): ModelRun => ({
	unit,
	run,
	behaviour,
	beganMs: undefined,
	timer: undefined,
	leaveGang() {
		// The run has not joined its gang yet.
	},
});

/** Lets a run work; `finish` is called at the end of its run time. */
export const beginRun = (modelRun: ModelRun, finish: () => void): void => {
	modelRun.beganMs = performance.now();
	modelRun.timer = setTimeout(finish, modelRun.behaviour.runMs);
};

/** Progress of a run that is listed as running. */
export const percentOf = ({behaviour: {runMs, startupMs}, beganMs}: ModelRun): number => {
	const workedMs = beganMs === undefined ? 0 : performance.now() - beganMs;
	return startupMs === undefined
		? Math.min(99, Math.round((100 * workedMs) / runMs))
		: Math.min(100, Math.round((100 * workedMs) / startupMs));
};
