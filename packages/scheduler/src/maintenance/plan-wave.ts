import {MAINTENANCE_MARGIN_MS} from './constants.js';
import type {Machine, Wave, WaveRecord} from './types.js';

export type WaveView = Readonly<{
	wave: Wave;
	record: WaveRecord;
	machines: ReadonlyMap<string, Machine>;
	/** Machines that are being drained for the wave, with their drain deadlines in monotonic time. */
	drainDeadlines: ReadonlyMap<string, number>;
	/** Work that would be lost if the machine went down now, in core-milliseconds; 0 for an idle machine. */
	lostWorkOf: (machine: Machine) => number;
	/** Whether a unit on the machine may not be stopped now. */
	isProtected: (machine: Machine) => boolean;
	/** Monotonic time. */
	nowMs: number;
	/** Wall-clock time. */
	wallClockMs: number;
	/** Time that the maintenance of one machine takes. */
	maintenanceMs: number;
}>;

export type WavePlan = Readonly<{
	/** Machines to drain, with their drain deadlines in monotonic time. */
	drain: ReadonlyMap<string, number>;
	/** Machines whose maintenance may start now. */
	start: readonly string[];
	isCompleted: boolean;
}>;

/** Machines of the wave that are or may be down for maintenance. */
const unavailableMachines = ({wave, record, machines}: WaveView): ReadonlySet<string> =>
	new Set([
		...record.ordered,
		...wave.machineIds.filter((id) => machines.get(id)?.state === 'upkeep' && !record.done.includes(id)),
	]);

/** Time that each machine may take to drain if the remaining machines are to finish within the wave's duration. */
const drainTimeMs = ({wave, record, wallClockMs, maintenanceMs}: WaveView, machineCount: number): number => {
	const rounds = Math.max(1, Math.ceil(machineCount / wave.maxDown));
	const remainingMs = Math.max(0, record.startedMs + wave.durationMs - wallClockMs);
	return Math.max(0, remainingMs / rounds - maintenanceMs - MAINTENANCE_MARGIN_MS);
};

/**
Decides which machines of a wave are drained and which go down. The wave limits how many are down or draining at the same time. A machine goes down when it is idle or its drain deadline has passed, but never while it runs a unit that may not be stopped. Machines with the least work to lose come first.

@example
```ts
const {drain, start, isCompleted} = planWave(view);
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
		// The maintenance of a machine that is down for another reason waits until it is up again.
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
