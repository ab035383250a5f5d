import type {ActiveJob, Part} from '../active-job.js';
import type {LeaderState} from '../leader-state.js';
import type {Plan} from '../plan/types.js';
import type {HarmfulEffects} from './interference.js';
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
	{placementIndex}: LeaderState,
	own: string,
	workerId: string,
	effects: HarmfulEffects,
): HarmfulPair | undefined =>
	(placementIndex.byWorker.get(workerId) ?? [])
		.map(({activeJob, part}) => kindOf(activeJob, part))
		.flatMap((other) => [
			{kind: own, neighbour: other},
			{kind: other, neighbour: own},
		])
		.map((pair) => ({...pair, effect: effects.get(pair.kind)?.get(pair.neighbour) ?? 0}))
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
): readonly KeptApart[] => {
	const effects = state.interference.harmfulEffects(nowMs);
	return keptApart.flatMap(({partId, workerId}) => {
		const [activeJob, part] = parts.get(partId)!;
		const worst = worstPair(state, kindOf(activeJob, part), workerId, effects);
		if (!worst) {
			return [];
		}

		const {kind, neighbour, effect} = worst;
		const runs = state.interference.runsOf(kind, neighbour);
		return [{unit: partId, worker: workerId, kind, neighbour, slowdown: Math.exp(effect).toFixed(2), runs}];
	});
};
