import {startTimeout} from '@bergamotgauge/lifecycle';
import {
	LOOP_DELAY_LIMIT_MS,
	START_PENDING_MS,
	START_WINDOW_INITIAL,
	START_WINDOW_MAX,
	START_WINDOW_MIN,
} from './constants.js';

/**
Pattern: a wave of starts, at a burst of submissions or after a takeover. Each order costs the leader processor time, and starts sent all at once hold up its event loop until their responses, and the renewals of its own lease, are read too late. The window limits the starts that await their responses, as the congestion window of TCP limits segments: it grows while the loop is on time and is halved when it is late.
*/
export type StartWindow = Readonly<{
	/** Whether this many starts may be sent together now. A gang larger than the window is sent when no other start awaits its response. */
	hasRoom: (members: number) => boolean;
	/**
	Records that a start has been sent. Returns a function to call when its outcome is known; after a while without an outcome the start counts no more, so that silent workers do not hold back the starts on others.
	*/
	open: () => () => void;
	/** Adapts the window to a measured delay of the event loop. */
	observeDelay: (delayMs: number) => void;
	/** Starts that may await their responses at the same time. */
	size: () => number;
}>;

/**
Creates the window of a term. `onRoom` is called each time that a start no longer counts.

@example
```ts
const startWindow = createStartWindow(planner.sendHeldBack);
if (startWindow.hasRoom(1)) {
	const settle = startWindow.open();
	await link.start(order, isWanted);
	settle();
}
```
*/
export const createStartWindow = (onRoom: () => void): StartWindow => {
	let size: number = START_WINDOW_INITIAL;
	/** Size up to which the window doubles with each round of responses; above it, a round adds one start. */
	let threshold: number = START_WINDOW_MAX;
	let pending = 0;
	let isLimiting = false;
	const settleOne = () => {
		pending -= 1;
		// A window that is not used up tells nothing about a larger one.
		if (isLimiting) {
			size = Math.min(START_WINDOW_MAX, size + (size < threshold ? 1 : 1 / size));
			isLimiting = pending > 0;
		}

		onRoom();
	};

	return {
		hasRoom(members) {
			const fits = pending === 0 || pending + members <= size;
			isLimiting ||= !fits;
			return fits;
		},
		open() {
			pending += 1;
			let isPending = true;
			const settle = () => {
				if (isPending) {
					isPending = false;
					cancelTimeout();
					settleOne();
				}
			};

			const cancelTimeout = startTimeout(START_PENDING_MS, settle);
			return settle;
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
