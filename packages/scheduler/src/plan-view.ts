import {readyParts, stepOf, type JobRun, type Part} from './job-run.js';
import {needOf, placedByWorker, recordOf, type LeaderState, type Placed} from './leader-state.js';
import type {PlanPart, PlanPlacement, PlanView, PlanWorker} from './plan/types.js';
import {addRoom, NO_ROOM, subtractRoom} from './plan/room.js';
import {rankOf} from './rank.js';
import type {Bounds, Declarations} from './types.js';

export type PlanViewOptions = Readonly<{
	state: LeaderState;
	declarations: Declarations | undefined;
	bounds: Bounds;
	/** Steady time. */
	nowMs: number;
	/** Time of day. */
	todayMs: number;
	/** Workers that may get orders. */
	isOrderable: (workerId: string) => boolean;
	/** Jobs whose earlier runs may still be on workers that have not answered. */
	isBlocked: (run: JobRun) => boolean;
}>;

/** Identifies a part among all jobs. */
export const partIdOf = (run: JobRun, part: Part): string => `${run.job.id}.${part.key}`;

const stepIdOf = (run: JobRun, part: Part): string => `${run.job.id}.${part.occurrence}.${part.step}`;

const lossOf = ({run, part, placement}: Placed, nowMs: number): number => {
	const step = stepOf(run, part);
	const ranMs = nowMs - placement.startedMs;
	// Work since the last checkpoint is lost; its age is not known, so half of the run is assumed.
	return ranMs * Math.max(1, step.accelerators) * part.indexes.length * (step.checkpoints ? 0.3 : 1);
};

const viewPlacement = (placed: Placed, nowMs: number): PlanPlacement => {
	const {run, part, placement} = placed;
	const step = stepOf(run, part);
	const ranMs = nowMs - placement.startedMs;
	const isMeasured = placement.percent >= 5;
	const totalMs = isMeasured ? (ranMs * 100) / placement.percent : Math.max(step.estimateMs, ranMs * 1.2);
	return {
		partId: partIdOf(run, part),
		need: needOf(run, part),
		priority: run.job.priority,
		customer: run.job.customer,
		lossMs: lossOf(placed, nowMs),
		endMs: step.longRunning ? Number.POSITIVE_INFINITY : placement.startedMs + totalMs,
		isStopping: placement.phase === 'stopping',
	};
};

const viewWorkers = (options: PlanViewOptions): readonly PlanWorker[] => {
	const {state, nowMs, isOrderable} = options;
	const placed = placedByWorker(state);
	return [...state.directory.values()].map((worker) => {
		const record = recordOf(state, worker.id);
		const here = placed.get(worker.id) ?? [];
		const used = here.reduce((sum, {run, part}) => addRoom(sum, needOf(run, part)), NO_ROOM);
		const hasStrays = (state.strays.get(worker.id)?.size ?? 0) > 0;
		return {
			id: worker.id,
			service: worker.service,
			rack: worker.rack,
			labels: worker.labels,
			capacity: worker.capacity,
			free: subtractRoom(worker.capacity, used),
			isUsable:
				worker.state === 'ready' && isOrderable(worker.id) && record.pausedUntilMs <= nowMs && !hasStrays,
			isSuspect: record.suspectUntilMs > nowMs,
			slowness: record.slowness,
			placements: here.map((one) => viewPlacement(one, nowMs)),
		};
	});
};

const viewPart = (run: JobRun, part: Part, options: PlanViewOptions): PlanPart => {
	const {nowMs} = options;
	const step = stepOf(run, part);
	part.waitingSinceMs ??= nowMs;
	return {
		id: partIdOf(run, part),
		stepId: stepIdOf(run, part),
		service: run.job.service,
		customer: run.job.customer,
		members: part.indexes.length,
		need: needOf(run, part),
		priority: run.job.priority,
		mayEvict: run.job.priority === 0,
		sameRack: step.sameRack,
		requiredLabel: step.requiredLabel,
		dataRack: step.dataRack,
		maxPerWorker: step.maxPerWorker,
		avoidedWorkers: part.avoided,
		estimateMs: step.estimateMs,
		waitedMs: nowMs - part.waitingSinceMs,
		rank: rankOf(run, part, options.todayMs),
	};
};

/** Accelerators that each customer's running urgent work holds. */
const guaranteedUse = (state: LeaderState): Map<string, number> => {
	const use = new Map<string, number>();
	for (const run of state.runs.values()) {
		if (run.job.priority === 0) {
			for (const part of run.parts.values()) {
				const held = part.placements.length * stepOf(run, part).accelerators;
				use.set(run.job.customer, (use.get(run.job.customer) ?? 0) + held);
			}
		}
	}

	return use;
};

/** Puts urgent work that its customer's guarantee covers before all other work. */
const raiseGuaranteed = (parts: readonly PlanPart[], options: PlanViewOptions): readonly PlanPart[] => {
	const left = new Map(
		(options.declarations?.customers ?? []).map(({name, guaranteedAccelerators}) => [name, guaranteedAccelerators]),
	);
	for (const [customer, used] of guaranteedUse(options.state)) {
		left.set(customer, (left.get(customer) ?? 0) - used);
	}

	return parts
		.toSorted((a, b) => a.rank - b.rank)
		.map((part) => {
			const asked = part.need.accelerators * part.members;
			const available = left.get(part.customer) ?? 0;
			if (part.priority !== 0 || asked > available) {
				return part;
			}

			left.set(part.customer, available - asked);
			return {...part, rank: part.rank - GUARANTEED_RANK};
		});
};

/** Taken off the rank of work within a guarantee; larger than any rank. */
const GUARANTEED_RANK = 1e12;

/**
Describes the workers and the waiting work for one planning pass.

@example
```ts
const {starts, evictions} = plan(createPlanView({state, declarations, bounds, nowMs, todayMs, isOrderable, isBlocked}));
```
*/
export const createPlanView = (options: PlanViewOptions): PlanView => {
	const {state, bounds, nowMs, isBlocked} = options;
	const parts: PlanPart[] = [];
	const units = new Map<string, number>();
	for (const run of state.runs.values()) {
		for (const part of run.parts.values()) {
			for (const {workerId} of part.placements) {
				const key = `${stepIdOf(run, part)} ${workerId}`;
				units.set(key, (units.get(key) ?? 0) + 1);
			}
		}

		if (!isBlocked(run)) {
			parts.push(...readyParts(run).map((part) => viewPart(run, part, options)));
		}
	}

	return {
		workers: viewWorkers(options),
		parts: raiseGuaranteed(parts, options),
		unitsOnWorker: (stepId, workerId) => units.get(`${stepId} ${workerId}`) ?? 0,
		nowMs,
		remoteFactor: bounds.remoteFactor,
	};
};
