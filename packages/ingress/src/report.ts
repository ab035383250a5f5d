import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {REPORT_MS} from './constants.js';
import type {ClosingCause, RefusalCause} from './types.js';

export type IngressState = Readonly<{heldBytes: number; requests: number; connections: number}>;

export type Report = Readonly<{
	countRefused: (cause: RefusalCause) => void;
	countClosed: (cause: ClosingCause) => void;
	/** Shows the state, and logs what was refused and closed since the last line. */
	update: (state: IngressState) => void;
}>;

/** Closing an idle connection is no sign of pressure. */
const isOrdinary = (cause: string): boolean => cause === 'idle' || cause === 'client-left';

/**
Shows what the limits of an ingress do, by metrics and at most one log line in five seconds.

@example
```ts
const report = createReport({log, metrics, budgetBytes});
report.countRefused('memory');
report.update({heldBytes, requests, connections});
```
*/
export const createReport = ({
	log,
	metrics,
	budgetBytes,
}: Readonly<{log: Log; metrics: Metrics; budgetBytes: number}>): Report => {
	const counts = new Map<string, number>();
	let reportedMs = Number.NEGATIVE_INFINITY;
	let peakBytes = 0;
	metrics.gauge('ingress_budget_bytes', budgetBytes);

	const count = (kind: string, cause: string) => {
		metrics.count(`ingress_${kind}_total`, {cause});
		if (!isOrdinary(cause)) {
			const name = `${kind}-${cause}`;
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}
	};

	return {
		countRefused(cause) {
			count('refused', cause);
		},
		countClosed(cause) {
			count('closed', cause);
		},
		update({heldBytes, requests, connections}) {
			metrics.gauge('ingress_held_bytes', heldBytes);
			metrics.gauge('ingress_requests', requests);
			metrics.gauge('ingress_connections', connections);
			peakBytes = Math.max(peakBytes, heldBytes);
			if (counts.size > 0 && performance.now() - reportedMs >= REPORT_MS) {
				log.warn('ingress-limited', {
					heldBytes,
					peakBytes,
					budgetBytes,
					requests,
					connections,
					...Object.fromEntries(counts),
				});
				counts.clear();
				peakBytes = 0;
				reportedMs = performance.now();
			}
		},
	};
};
