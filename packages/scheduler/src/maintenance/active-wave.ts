import type {Machine, Wave, WaveRecord} from './types.js';

/** A wave that a leader carries out. */
export type ActiveWave = {
	readonly wave: Wave;
	record: WaveRecord;
	/** Revision of the stored record; 0 before it is stored. */
	revision: number;
	/** Revision of the stored state; 0 before it is stored. */
	stateRevision: number;
	/** Machines being drained, with their drain deadlines. */
	drainDeadlines: ReadonlyMap<string, number>;
	/** Machines whose maintenance order was accepted, with the time of the response. */
	readonly acceptedMs: Map<string, number>;
	isCompleted: boolean;
};

/**
Workers that get no new work because of the waves, with their drain deadlines. An order that is not confirmed is repeated and ends what runs on the machine by then, so its deadline has passed. Workers of the previous result keep their order and come first, so that a worker that is being emptied is not overtaken by one that is drained later.

@example
```ts
drainDeadlines = drainDeadlinesOf([...waves.values()], machines, now(), drainDeadlines);
```
*/
export const drainDeadlinesOf = (
	waves: readonly ActiveWave[],
	machines: ReadonlyMap<string, Machine>,
	nowMs: number,
	previous: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> => {
	const deadlineByWorker = new Map<string, number>();
	for (const {drainDeadlines, record, acceptedMs} of waves.filter(({isCompleted}) => !isCompleted)) {
		const unconfirmed = record.ordered.filter((id) => !acceptedMs.has(id));
		for (const [machineId, deadlineMs] of [...drainDeadlines, ...unconfirmed.map((id) => [id, nowMs] as const)]) {
			const workerId = machines.get(machineId)?.workerId;
			if (workerId !== undefined) {
				deadlineByWorker.set(workerId, deadlineMs);
			}
		}
	}

	const kept = [...previous].filter(([workerId]) => deadlineByWorker.has(workerId));
	return new Map([...kept, ...deadlineByWorker]);
};
