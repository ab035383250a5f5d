import {WORKER_REOPEN_MS} from './constants.js';
import type {Worker} from './types.js';

/** The last links of workers that have ended. */
export type EndedLinks = Readonly<{
	/** Records the end of a link; `mayAnswer` tells whether the same incarnation may answer again. */
	record: (worker: Pick<Worker, 'id' | 'address' | 'startedMs'>, {mayAnswer}: Readonly<{mayAnswer: boolean}>) => void;
	/** Whether a link may be opened to the worker of a report. */
	mayReopen: (worker: Worker) => boolean;
}>;

/**
Creates the record of a term.

@example
```ts
const endedLinks = createEndedLinks(now);
if (endedLinks.mayReopen(worker)) openLink(worker);
```
*/
export const createEndedLinks = (now: () => number): EndedLinks => {
	const links = new Map<string, Readonly<{untilMs: number; startedMs: number | undefined; address: string}>>();
	return {
		record({id, address, startedMs}, {mayAnswer}) {
			const untilMs = mayAnswer ? now() + WORKER_REOPEN_MS : Number.POSITIVE_INFINITY;
			links.set(id, {untilMs, startedMs, address});
		},
		mayReopen({id, startedMs, address}) {
			const ended = links.get(id);
			// Nothing is known of the worker if it was called at an address that a report of another writer gave.
			if (ended?.address !== address) {
				return true;
			}

			const isLater = startedMs !== undefined && startedMs > (ended.startedMs ?? Number.NEGATIVE_INFINITY);
			return isLater || now() >= ended.untilMs;
		},
	};
};
