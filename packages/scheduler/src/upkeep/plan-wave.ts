import {UPKEEP_MARGIN_MS} from '../constants.js';
import type {Machine, Wave, WaveRecord} from './types.js';

export type WaveView = Readonly<{
	wave: Wave;
	record: WaveRecord;
	machines: ReadonlyMap<string, Machine>;
	/** Machines that are being emptied for the wave, with the steady time by which their upkeep should begin. */
	emptying: ReadonlyMap<string, number>;
	/** Work that would be lost with the machine now, in core-milliseconds; 0 for an empty one. */
	lossOf: (machine: Machine) => number;
	/** Whether something runs on the machine that may not be stopped now. */
	isProtected: (machine: Machine) => boolean;
	/** Steady time. */
	nowMs: number;
	/** Time of day. */
	todayMs: number;
	/** Time that one upkeep takes. */
	upkeepMs: number;
}>;

export type WavePlan = Readonly<{
	/** Machines to empty, with the steady time by which their upkeep should begin. */
	empty: ReadonlyMap<string, number>;
	/** Machines whose upkeep may begin now. */
	begin: readonly string[];
	isCompleted: boolean;
}>;

/** Machines of the wave that are down for it, or may be. */
const downOf = ({wave, record, machines}: WaveView): ReadonlySet<string> =>
	new Set([
		...record.ordered,
		...wave.machineIds.filter((id) => machines.get(id)?.state === 'upkeep' && !record.done.includes(id)),
	]);

/** Time for which a machine may be emptied so that all of them still have their turn in time. */
const emptyingMs = ({wave, record, todayMs, upkeepMs}: WaveView, left: number): number => {
	const rounds = Math.max(1, Math.ceil(left / wave.maxDown));
	const remainingMs = Math.max(0, record.startedMs + wave.durationMs - todayMs);
	return Math.max(0, remainingMs / rounds - upkeepMs - UPKEEP_MARGIN_MS);
};

/**
Decides which machines of a wave are emptied and which go down. No more than the wave allows are down or being emptied at the same time; a machine goes down when it is empty or its time is over, and never while it holds work that may not be stopped. Machines with the least work to lose come first.

@example
```ts
const {empty, begin, isCompleted} = planWave(view);
```
*/
export const planWave = (view: WaveView): WavePlan => {
	const {wave, record, machines, lossOf, isProtected, nowMs} = view;
	const down = downOf(view);
	const waiting = wave.machineIds.filter((id) => !record.done.includes(id) && !down.has(id) && machines.has(id));
	let room = Math.max(0, wave.maxDown - down.size);
	const deadlineMs = nowMs + emptyingMs(view, waiting.length);
	const lossById = new Map(waiting.map((id) => [id, lossOf(machines.get(id)!)]));
	const isBegun = (id: string): boolean => view.emptying.has(id);
	const sorted = waiting
		// A machine that is down by itself has its upkeep when it is back.
		.filter((id) => machines.get(id)?.state === 'up')
		.toSorted((a, b) => Number(isBegun(b)) - Number(isBegun(a)) || lossById.get(a)! - lossById.get(b)!);
	const empty = new Map<string, number>();
	const begin: string[] = [];
	for (const id of sorted) {
		if (room === 0) {
			break;
		}

		room -= 1;
		const untilMs = view.emptying.get(id) ?? deadlineMs;
		const isDue = lossById.get(id) === 0 || nowMs >= untilMs;
		if (isDue && !isProtected(machines.get(id)!)) {
			begin.push(id);
		} else {
			empty.set(id, untilMs);
		}
	}

	const isDone = (id: string): boolean =>
		record.done.includes(id) || (!machines.has(id) && !record.ordered.includes(id));
	return {empty, begin, isCompleted: wave.machineIds.every((id) => isDone(id))};
};
