import type {ActiveJob, Part} from '../active-job.js';
import type {LeaderState} from '../leader-state.js';
import {kindOf} from './observe-shared.js';

/** A unit, the worker that it was kept from, and the most harmful pair there, learned from this many runs; `slowdown` 1.4 means that the run takes 1.4 times as long. */
export type KeptApart = Readonly<{
	unit: string;
	worker: string;
	kind: string;
	neighbour: string;
	slowdown: string;
	runs: number;
}>;

/** Describes why a unit was kept from a worker, as fields of a log line; `undefined` if the work there has ended since. */
export const describeKeptApart = (
	{interference, placementIndex}: LeaderState,
	{
		activeJob,
		part,
		unit,
		worker,
		nowMs,
	}: Readonly<{activeJob: ActiveJob; part: Part; unit: string; worker: string; nowMs: number}>,
): KeptApart | undefined => {
	const own = kindOf(activeJob, part);
	let worst: Readonly<{kind: string; neighbour: string; effect: number}> | undefined;
	for (const placed of placementIndex.byWorker.get(worker) ?? []) {
		const other = kindOf(placed.activeJob, placed.part);
		for (const [kind, neighbour] of [
			[own, other],
			[other, own],
		] as const) {
			const effect = interference.effectOn(kind, neighbour, nowMs);
			if (effect > (worst?.effect ?? 0)) {
				worst = {kind, neighbour, effect};
			}
		}
	}

	return (
		worst && {
			unit,
			worker,
			kind: worst.kind,
			neighbour: worst.neighbour,
			slowdown: Math.exp(worst.effect).toFixed(2),
			runs: interference.runsOf(worst.kind, worst.neighbour),
		}
	);
};
