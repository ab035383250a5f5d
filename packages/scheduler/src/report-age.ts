import type {Clocks} from './clocks.js';
import {MAX_ACKNOWLEDGED_REPORT_AGE_MS} from './constants.js';

/** When a report was requested. */
export type RequestTime = Readonly<{
	/** By `now`. */
	sentMs: number;
	/** Time for which the machine of this instance may have been suspended until then, since the start of the process. */
	suspendedMs: number;
}>;

/** Age of the latest report of a worker. A link stays synced while a paused term sends nothing. */
export type ReportAge = Readonly<{
	requestTime: () => RequestTime;
	/** Records a report that was composed at the time, by `now`, and requested after `suspendedMs` of suspensions. */
	record: (composedMs: number, suspendedMs: number) => void;
	/** Whether the latest report is so recent that the worker has hardly started again since. */
	isRecent: () => boolean;
}>;

/**
Creates the age of a worker's reports. The worker's clock is matched with the monotonic one; suspensions since the request are added, as the response may have waited for a suspended instance.

@example
```ts
const age = createReportAge(clocks);
const {sentMs, suspendedMs} = age.requestTime();
age.record(composedMs, suspendedMs);
```
*/
export const createReportAge = ({now, latestNow}: Clocks): ReportAge => {
	/** Time at or after which the report was composed, by `latestNow`. */
	let reportedMs = Number.NEGATIVE_INFINITY;
	return {
		requestTime() {
			const suspendedMs = latestNow() - now();
			return {sentMs: now(), suspendedMs};
		},
		record(composedMs, suspendedMs) {
			reportedMs = Math.max(reportedMs, composedMs + suspendedMs);
		},
		isRecent: () => latestNow() - reportedMs <= MAX_ACKNOWLEDGED_REPORT_AGE_MS,
	};
};
