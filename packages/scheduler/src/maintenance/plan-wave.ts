import {MAINTENANCE_MARGIN_MS} from '../constants.js';
import type {Machine, Wave, WaveRecord} from './types.js';

export type WaveView = Readonly<{
	wave: Wave;
	record: WaveRecord;
	machines: ReadonlyMap<string, Machine>;
	/** Machines that are being emptied for the wave, with the steady time by which their upkeep should begin. */
	drainDeadlines: ReadonlyMap<string, number>;
	/** Work that would be lost with the machine now, in core-milliseconds; 0 for an empty one. */
	lostWorkOf: (machine: Machine) => number;
	/** Whether something runs on the machine that may not be stopped now. */
	isProtected: (machine: Machine) => boolean;
	/** Steady time. */
	nowMs: number;
	/** Time of day. */
	todayMs: number;
	/** Time that one upkeep takes. */
	maintenanceMs: number;
}>;

export type WavePlan = Readonly<{
	/** Machines to empty, with the steady time by which their upkeep should begin. */
	drain: ReadonlyMap<string, number>;
	/** Machines whose upkeep may begin now. */
	start: readonly string[];
	isCompleted: boolean;
}>;

/** Machines of the wave that are down for it, or may be. */
const unavailableMachines = ({wave, record, machines}: WaveView): ReadonlySet<string> =>
	new Set([
		...record.ordered,
		...wave.machineIds.filter((id) => machines.get(id)?.state === 'upkeep' && !record.done.includes(id)),
	]);

/** Time for which a machine may be emptied so that all of them still have their turn in time. */
const drainTimeMs = ({wave, record, todayMs, maintenanceMs}: WaveView, machineCount: number): number => {
	const rounds = Math.max(1, Math.ceil(machineCount / wave.maxDown));
	const remainingMs = Math.max(0, record.startedMs + wave.durationMs - todayMs);
	return Math.max(0, remainingMs / rounds - maintenanceMs - MAINTENANCE_MARGIN_MS);
};

/**
Decides which machines of a wave are emptied and which go down. No more than the wave allows are down or being emptied at the same time; a machine goes down when it is empty or its time is over, and never while it holds work that may not be stopped. Machines with the least work to lose come first.

@example
```ts
const {empty, begin, isCompleted} = planWave(view);
```
*/
export const planWave = (view: WaveView): WavePlan => {
	const {wave, record, machines, lostWorkOf, isProtected, nowMs} = view;
	const down = unavailableMachines(view);
	const waiting = wave.machineIds.filter((id) => !record.done.includes(id) && !down.has(id) && machines.has(id));
	let available = Math.max(0, wave.maxDown - down.size);
	const deadlineMs = nowMs + drainTimeMs(view, waiting.length);
	const lostWorkById = new Map(waiting.map((id) => [id, lostWorkOf(machines.get(id)!)]));
	const isDraining = (id: string): boolean => view.drainDeadlines.has(id);
	const sorted = waiting
		// A machine that is down by itself has its upkeep when it is back.
		.filter((id) => machines.get(id)?.state === 'up')
		.toSorted((a, b) => Number(isDraining(b)) - Number(isDraining(a)) || lostWorkById.get(a)! - lostWorkById.get(b)!);
	const drain = new Map<string, number>();
	const start: string[] = [];
	for (const id of sorted) {
		if (available === 0) {
			break;
		}

		available -= 1;
		const machineDeadlineMs = view.drainDeadlines.get(id) ?? deadlineMs;
		const isDue = lostWorkById.get(id) === 0 || nowMs >= machineDeadlineMs;
		if (isDue && !isProtected(machines.get(id)!)) {
			start.push(id);
		} else {
			drain.set(id, machineDeadlineMs);
		}
	}

	const isDone = (id: string): boolean =>
		record.done.includes(id) || (!machines.has(id) && !record.ordered.includes(id));
	return {drain, start, isCompleted: wave.machineIds.every((id) => isDone(id))};
};
