import {MAX_READS_PER_TURN, MIN_READS_PER_TURN, READ_TURN_MS} from './constants.js';

/** Decides when connections are read. */
export type ReadTurns = Readonly<{
	/**
	Calls `read` at once while few connections were read in this turn of the event loop, otherwise in a later one.

	@param source Connections of one source wait in their order; the sources take turns.
	@param hold Called if the connection has to wait.
	*/
	request: (source: string, read: () => void, hold?: () => void) => void;
	/** Calls `read` in a later turn. */
	requestLater: (source: string, read: () => void) => void;
	/** Connections that wait. */
	count: () => number;
}>;

type ReadTurnsOptions = Readonly<{
	now: () => number;
	/** Calls back in the next turn of the event loop, when what has arrived was read. */
	defer: (callback: () => void) => void;
}>;

/**
Bounds how many connections are read in one turn of the event loop, so that a crowd whose input is costly (64 KB may hold 11,000 chunks or hundreds of requests) does not hold up answers, leases and the calls of other callers until all of it is parsed. The number follows from the time that the turns take.

@example
```ts
const turns = createReadTurns({now: () => performance.now(), defer: setImmediate});
turns.request('10.0.0.7', () => socket.resume(), () => socket.pause());
```
*/
export const createReadTurns = ({now, defer}: ReadTurnsOptions): ReadTurns => {
	const waiting = new Map<string, Array<() => void>>();
	let count = 0;
	let reads = 0;
	let maxReads = MAX_READS_PER_TURN;
	let isDeferred = false;
	let turnMs = 0;

	const enqueue = (source: string, read: () => void) => {
		const queue = waiting.get(source);
		if (queue) {
			queue.push(read);
		} else {
			waiting.set(source, [read]);
		}

		count += 1;
	};

	/** The next of the source whose turn it is; that source is last from then on. */
	const dequeue = (): (() => void) | undefined => {
		const [first] = waiting;
		if (!first) {
			return undefined;
		}

		const [source, queue] = first;
		const read = queue.shift();
		waiting.delete(source);
		if (queue.length > 0) {
			waiting.set(source, queue);
		}

		count -= 1;
		return read;
	};

	const deferTurn = () => {
		if (!isDeferred) {
			isDeferred = true;
			turnMs = now();
			defer(beginTurn);
		}
	};

	const beginTurn = () => {
		isDeferred = false;
		const isLong = now() - turnMs > READ_TURN_MS;
		maxReads = isLong
			? Math.max(MIN_READS_PER_TURN, Math.floor(maxReads / 2))
			: Math.min(MAX_READS_PER_TURN, maxReads * 2);
		reads = Math.min(maxReads, count);
		for (let index = 0; index < reads; index += 1) {
			dequeue()?.();
		}

		if (reads > 0) {
			deferTurn();
		}
	};

	const requestLater = (source: string, read: () => void) => {
		enqueue(source, read);
		deferTurn();
	};

	return {
		request(source, read, hold = () => {}) {
			if (count > 0 || reads >= maxReads) {
				hold();
				requestLater(source, read);
				return;
			}

			reads += 1;
			deferTurn();
			read();
		},
		requestLater,
		count: () => count,
	};
};
