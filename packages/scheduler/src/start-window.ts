import {LOOP_DELAY_LIMIT_MS, START_WINDOW_INITIAL, START_WINDOW_MAX, START_WINDOW_MIN} from './constants.js';

/**
Pattern: a wave of starts, at a burst of submissions or after a takeover. Each order costs the leader processor time, and starts sent all at once hold up its event loop until their responses, and the renewals of its own lease, are read too late. The window limits the starts that await their responses, as the congestion window of TCP limits segments: it grows while the loop is on time and is halved when it is late.
*/
export type StartWindow = Readonly<{
	/** Whether this many starts may be sent together now. A gang larger than the window is sent when no other start awaits its response. */
	hasRoom: (members: number) => boolean;
	/** Records that starts have been sent. */
	open: (members: number) => void;
	/** Records that the outcome of one start is known, or that it was not sent. */
	close: () => void;
	/** Adapts the window to a measured delay of the event loop. */
	observeDelay: (delayMs: number) => void;
	/** Starts that may await their responses at the same time. */
	size: () => number;
}>;

/**
Creates the window of a term.

@example
```ts
const startWindow = createStartWindow();
if (startWindow.hasRoom(gang.length)) startWindow.open(gang.length);
```
*/
export const createStartWindow = (): StartWindow => {
	let size: number = START_WINDOW_INITIAL;
	/** Size up to which the window doubles with each round of responses; above it, a round adds one start. */
	let threshold: number = START_WINDOW_MAX;
	let pending = 0;
	let isLimiting = false;
	return {
		hasRoom(members) {
			const fits = pending === 0 || pending + members <= size;
			isLimiting ||= !fits;
			return fits;
		},
		open(members) {
			pending += members;
		},
		close() {
			pending -= 1;
			// A window that is not used up tells nothing about a larger one.
			if (isLimiting) {
				size = Math.min(START_WINDOW_MAX, size + (size < threshold ? 1 : 1 / size));
				isLimiting = pending > 0;
			}
		},
		observeDelay(delayMs) {
			if (delayMs > LOOP_DELAY_LIMIT_MS) {
				threshold = Math.max(START_WINDOW_MIN, size / 2);
				size = threshold;
			}
		},
		size: () => Math.floor(size),
	};
};
