import type {ActiveJob, Part} from '../active-job.js';
import type {LeaderState} from '../leader-state.js';
import type {Plan} from '../plan/types.js';
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

type HarmfulPair = Readonly<{kind: string; neighbour: string; effect: number}>;

/** The most harmful pair of the kind and the work on the worker; `undefined` if that has ended, or is only planned. */
const worstPair = (
	{interference, placementIndex}: LeaderState,
	own: string,
	workerId: string,
	nowMs: number,
): HarmfulPair | undefined =>
	(placementIndex.byWorker.get(workerId) ?? [])
		.map(({activeJob, part}) => kindOf(activeJob, part))
		.flatMap((other) => [
			{kind: own, neighbour: other},
			{kind: other, neighbour: own},
		])
		.map((pair) => ({...pair, effect: interference.effectOn(pair.kind, pair.neighbour, nowMs)}))
		.filter(({effect}) => effect > 0)
		.toSorted((a, b) => b.effect - a.effect)[0];

/** Describes why units were kept from workers, as fields of log lines. */
export const describeKeptApart = (
	state: LeaderState,
	{
		keptApart,
		parts,
		nowMs,
	}: Readonly<{
		keptApart: Plan['keptApart'];
		parts: ReadonlyMap<string, readonly [ActiveJob, Part]>;
		nowMs: number;
	}>,
): readonly KeptApart[] =>
	keptApart.flatMap(({partId, workerId}) => {
		const [activeJob, part] = parts.get(partId)!;
		const worst = worstPair(state, kindOf(activeJob, part), workerId, nowMs);
		if (!worst) {
			return [];
		}

		const {kind, neighbour, effect} = worst;
		const runs = state.interference.runsOf(kind, neighbour);
		return [{unit: partId, worker: workerId, kind, neighbour, slowdown: Math.exp(effect).toFixed(2), runs}];
	});
