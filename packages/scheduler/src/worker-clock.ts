import {CLOCK_RATE_ERROR, LEASE_EXPIRY_MARGIN_MS, OFFSET_INTERVAL_MS} from './constants.js';

/** Estimate of a worker's clock, and the latest lease that this instance may have granted it. */
export type WorkerClock = Readonly<{
	/** Records a reading of the worker's clock, taken between the two times of this instance. */
	observe: (workerMs: number, sentMs: number, receivedMs: number) => void;
	/**
	Estimate, on this instance's clock, of the time at which the worker took a reading between the two times. Unlike the time at which the reading is received, it does not depend on when this process gets to read it.
	*/
	timeOf: (workerMs: number, sentMs: number, receivedMs: number) => number;
	/** End, on the worker's clock, of a lease of the given length; `undefined` before the first reading. */
	leaseUntil: (nowMs: number, lengthMs: number) => number | undefined;
	/** Records that an order with this lease end was sent, whether or not a response came. */
	recordLease: (leaseUntilMs: number) => void;
	/** Time, on this instance's clock, after which no lease granted here or by an earlier leader can be valid. */
	expiryMs: () => number;
}>;

/**
Creates the estimate of a worker's clock; `initialExpiryMs` is the time at which leases of earlier leaders have expired. Leases expire by that clock, which may run slower than this instance's, so the expiry of granted leases is estimated late and that of new ones early.

@example
```ts
const clock = createWorkerClock(startedMs + maxLeaseMs);
clock.observe(report.clockMs, sentMs, receivedMs);
```
*/
export const createWorkerClock = (initialExpiryMs: number): WorkerClock => {
	let reading: Readonly<{workerMs: number; sentMs: number; receivedMs: number}> | undefined;
	let latestLeaseMs = 0;
	/** Smallest differences between the clocks in the present and the previous interval: those of the responses that were read soonest. */
	let offsets = {
		sinceMs: Number.NEGATIVE_INFINITY,
		presentMs: Number.POSITIVE_INFINITY,
		previousMs: Number.POSITIVE_INFINITY,
	};
	const observeOffset = (workerMs: number, receivedMs: number) => {
		if (receivedMs - offsets.sinceMs > OFFSET_INTERVAL_MS) {
			offsets = {sinceMs: receivedMs, presentMs: Number.POSITIVE_INFINITY, previousMs: offsets.presentMs};
		}

		offsets.presentMs = Math.min(offsets.presentMs, receivedMs - workerMs);
	};

	return {
		timeOf(workerMs, sentMs, receivedMs) {
			const estimateMs = workerMs + Math.min(offsets.presentMs, offsets.previousMs);
			return Math.min(receivedMs, Math.max(sentMs, estimateMs));
		},
		observe(workerMs, sentMs, receivedMs) {
			observeOffset(workerMs, receivedMs);
			if (!reading || sentMs >= reading.sentMs) {
				reading = {workerMs, sentMs, receivedMs};
			}
		},
		leaseUntil: (nowMs, lengthMs) =>
			reading && Math.round(reading.workerMs + Math.max(0, nowMs - reading.receivedMs) + lengthMs),
		recordLease(leaseUntilMs) {
			latestLeaseMs = Math.max(latestLeaseMs, leaseUntilMs);
		},
		expiryMs() {
			if (!reading || latestLeaseMs === 0) {
				return initialExpiryMs;
			}

			const lengthMs = Math.max(0, latestLeaseMs - reading.workerMs);
			const grantedEndMs =
				reading.receivedMs + lengthMs * (1 + CLOCK_RATE_ERROR + CLOCK_RATE_ERROR ** 2) + LEASE_EXPIRY_MARGIN_MS;
			// A lease granted here may be shorter than one that an earlier leader granted.
			return Math.max(initialExpiryMs, grantedEndMs);
		},
	};
};
