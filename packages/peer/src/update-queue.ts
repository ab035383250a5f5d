import {MAX_HEARTBEAT_UPDATES} from './constants.js';

/** Ids of members whose changed state is to be disseminated to the other instances. */
export type UpdateQueue = Readonly<{
	/** Queues a member. A change of health or state is urgent and is sent before changes of the other fields. */
	add: (id: string, isUrgent: boolean) => void;
	/** Returns the ids for the next message: urgent ones first, then the least often sent. The member count determines how often each id is sent. */
	nextBatch: (memberCount: number) => readonly string[];
}>;

/**
Creates an empty queue. Each id is sent in a number of messages that grows with the logarithm of the member count, as in epidemic broadcast, so that it reaches all instances with high probability.

@example
```ts
queue.add('q3', true);
const ids = queue.nextBatch(9);
```
*/
export const createUpdateQueue = (): UpdateQueue => {
	const waiting = new Map<string, Readonly<{sends: number; isUrgent: boolean}>>();
	return {
		add(id, isUrgent) {
			waiting.set(id, {sends: 0, isUrgent: isUrgent || waiting.get(id)?.isUrgent === true});
		},
		nextBatch(memberCount) {
			const limit = 2 * Math.ceil(Math.log2(memberCount + 2));
			const batch = [...waiting]
				.toSorted(([, a], [, b]) => Number(b.isUrgent) - Number(a.isUrgent) || a.sends - b.sends)
				.slice(0, MAX_HEARTBEAT_UPDATES);
			for (const [id, {sends, isUrgent}] of batch) {
				if (sends + 1 >= limit) {
					waiting.delete(id);
				} else {
					waiting.set(id, {sends: sends + 1, isUrgent});
				}
			}

			return batch.map(([id]) => id);
		},
	};
};
