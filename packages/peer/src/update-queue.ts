import {MAX_UPDATES} from './constants.js';

/** Ids of members whose state the other instances should learn. */
export type UpdateQueue = Readonly<{
	/** A change of health or state is urgent: it goes before changes of the other fields. */
	add: (id: string, isUrgent: boolean) => void;
	/** Ids for one message, urgent ones and then the least often sent first. */
	take: (memberCount: number) => readonly string[];
}>;

/**
Creates an empty queue. Each id goes into a number of messages that grows with the logarithm of the member count, which reaches all instances with high probability.

@example
```ts
queue.add('q3', true);
const ids = queue.take(9);
```
*/
export const createUpdateQueue = (): UpdateQueue => {
	const waiting = new Map<string, Readonly<{sends: number; isUrgent: boolean}>>();
	return {
		add(id, isUrgent) {
			waiting.set(id, {sends: 0, isUrgent: isUrgent || waiting.get(id)?.isUrgent === true});
		},
		take(memberCount) {
			const limit = 2 * Math.ceil(Math.log2(memberCount + 2));
			const taken = [...waiting]
				.toSorted(([, a], [, b]) => Number(b.isUrgent) - Number(a.isUrgent) || a.sends - b.sends)
				.slice(0, MAX_UPDATES);
			for (const [id, {sends, isUrgent}] of taken) {
				if (sends + 1 >= limit) {
					waiting.delete(id);
				} else {
					waiting.set(id, {sends: sends + 1, isUrgent});
				}
			}

			return taken.map(([id]) => id);
		},
	};
};
