import {sleep} from '@bergamotgauge/lifecycle';
import type {Log} from '@bergamotgauge/telemetry';
import {DRAIN_POLL_MS, READINESS_LEAD_MS} from './constants.js';

export type DrainOptions = Readonly<{
	log: Log;
	/** Longest wait for requests in progress. */
	drainMs: number;
	/** Fails the readiness check; new requests are still accepted. */
	stopReadiness: () => void;
	/** Refuses new and waiting requests and announces the shutdown to the other instances. */
	stopAccepting: () => void;
	/** Requests and writes in progress. */
	inProgress: () => number;
	/** Hands the endpoint slots of this instance over to the others, before `close`. */
	handOver: () => Promise<void>;
	close: () => Promise<void>;
}>;

/**
Creates the graceful shutdown of an instance. Every call returns the same promise, so that a second shutdown request does not cut the first one short.

@example
```ts
const drain = createDrain({log, drainMs: 30_000, stopReadiness, stopAccepting, inProgress, handOver, close});
await drain();
```
*/
export const createDrain = (options: DrainOptions): (() => Promise<void>) => {
	const {log, drainMs, stopReadiness, stopAccepting, inProgress, handOver, close} = options;
	let drained: Promise<void> | undefined;

	const run = async () => {
		log.info('drain-started', {inProgress: inProgress()});
		stopReadiness();
		await sleep(READINESS_LEAD_MS);
		stopAccepting();
		const deadlineMs = Date.now() + drainMs;
		while (inProgress() > 0 && Date.now() < deadlineMs) {
			await sleep(DRAIN_POLL_MS);
		}

		await handOver();
		log.info('drain-ended', {inProgress: inProgress()});
		await close();
	};

	return async () => {
		drained ??= run();
		return drained;
	};
};
