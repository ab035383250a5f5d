import type {ReportedEnds} from './reported-ends.js';
import type {WorkerReport} from './types.js';
import type {WorkerEnd} from './worker-link-types.js';

type AcceptedReport = Extract<WorkerReport, {outcome: 'accepted'}>;

/** Tells the reports of one worker incarnation from those of others under the same id. */
export type Incarnation = Readonly<{
	/** Start time of the incarnation; `undefined` if it is not known. */
	startedMs: () => number | undefined;
	/** Whether a report is by this incarnation or by an earlier one; a report by a later one is the end of this one. */
	identify: (
		report: AcceptedReport,
		request: Readonly<{
			sentMs: number;
			/** Whether the worker has not answered before. */
			isFirst: boolean;
		}>,
	) => 'own' | 'earlier' | WorkerEnd;
}>;

/**
Creates the incarnation that a report in the store describes.

@example
```ts
const incarnation = createIncarnation(worker.startedMs, ends);
if (incarnation.identify(report, {sentMs, isFirst: false}) === 'own') applyReport(report);
```
*/
export const createIncarnation = (
	listedMs: number | undefined,
	ends: Pick<ReportedEnds, 'isRenumbered'>,
): Incarnation => {
	let startedMs = listedMs;
	return {
		startedMs: () => startedMs,
		identify({startedMs: reportedMs, ended}, {sentMs, isFirst}) {
			if (reportedMs === undefined || reportedMs === startedMs) {
				return ends.isRenumbered(ended, sentMs) ? {reason: 'renumbered'} : 'own';
			}

			// Until the worker has answered, its start time is only known from a report that anyone may have written.
			if (startedMs === undefined || isFirst) {
				startedMs = reportedMs;
				return 'own';
			}

			return reportedMs > startedMs ? {reason: 'other-life', successorMs: reportedMs} : 'earlier';
		},
	};
};
