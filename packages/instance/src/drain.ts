import {sleep} from '@bergamotgauge/lifecycle';
import type {Log} from '@bergamotgauge/telemetry';
import {DRAIN_POLL_MS, READINESS_LEAD_MS} from './constants.js';

export type DrainOptions = Readonly<{
	log: Log;
	/** Bound for requests in progress. */
	drainMs: number;
	/** Turns readiness off; new requests are still taken. */
	stopReadiness: () => void;
	/** Refuses new and waiting requests and tells the other instances. */
	stopAccepting: () => void;
	/** Requests and writes in progress. */
	inProgress: () => number;
	handOver: () => Promise<void>;
	close: () => Promise<void>;
}>;

/**
Creates the planned stop of an instance. Every call gives the same promise, so that a second request to stop does not cut the first one short.

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
