import {MAX_UPDATES} from './constants.js';

/** Ids of members whose state the other instances should learn. */
export type UpdateQueue = Readonly<{
	add: (id: string) => void;
	/** Ids for one message, the least often sent first. */
	take: (memberCount: number) => readonly string[];
}>;

/**
Creates an empty queue. Each id goes into a number of messages that grows with the logarithm of the member count, which reaches all instances with high probability.

@example
```ts
queue.add('q3');
const ids = queue.take(9);
```
*/
export const createUpdateQueue = (): UpdateQueue => {
	const sends = new Map<string, number>();
	return {
		add(id) {
			sends.set(id, 0);
		},
		take(memberCount) {
			const limit = 2 * Math.ceil(Math.log2(memberCount + 2));
			const ids = [...sends]
				.toSorted(([, a], [, b]) => a - b)
				.slice(0, MAX_UPDATES)
				.map(([id]) => id);
			for (const id of ids) {
				const count = sends.get(id)! + 1;
				if (count >= limit) {
					sends.delete(id);
				} else {
					sends.set(id, count);
				}
			}

			return ids;
		},
	};
};
