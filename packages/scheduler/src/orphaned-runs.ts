import {sleep} from '@bergamotgauge/lifecycle';
import type {Log} from '@bergamotgauge/telemetry';
import {STOP_RETRY_MS} from './constants.js';
import type {LeaderState} from './leader-state.js';
import type {WorkerLink} from './worker-link-types.js';
import type {OrderTarget} from './worker-orders.js';

export type OrphanedRunsOptions = Readonly<{state: LeaderState; log: Log; signal: AbortSignal}>;

/** Stops orphaned runs, which workers report and which belong to no active job. */
export type OrphanedRuns = Readonly<{
	/** Replaces the orphaned runs of a worker with those of its latest report, and stops them. */
	reconcile: (link: WorkerLink, listed: readonly OrderTarget[]) => void;
}>;

const keyOf = ({unit, run}: OrderTarget): string => `${unit} ${run}`;

/**
Creates the handler of orphaned runs for a term.

@example
```ts
const orphanedRuns = createOrphanedRuns({state, log, signal});
orphanedRuns.reconcile(link, [{unit: '5c0e7a21d94b36f8.0.1.17', run: 2}]);
```
*/
export const createOrphanedRuns = ({state, log, signal}: OrphanedRunsOptions): OrphanedRuns => {
	/** Runs whose stop is under way, by worker and run. */
	const stopping = new Set<string>();

	/** Retries the stop until the worker has accepted it or no longer reports the run. */
	const stop = async (link: WorkerLink, target: OrderTarget) => {
		const workerId = link.worker.id;
		const key = keyOf(target);
		const stopKey = `${workerId} ${key}`;
		if (stopping.has(stopKey)) {
			return;
		}

		stopping.add(stopKey);
		while (!signal.aborted && link.state() !== 'gone' && state.orphanedRuns.get(workerId)?.has(key)) {
			if (await link.stop(target.unit, target.run)) {
				break;
			}

			await sleep(STOP_RETRY_MS, signal);
		}

		stopping.delete(stopKey);
	};

	return {
		reconcile(link, listed) {
			const workerId = link.worker.id;
			const earlier = state.orphanedRuns.get(workerId);
			if (listed.length > 0) {
				state.orphanedRuns.set(workerId, new Set(listed.map((target) => keyOf(target))));
			} else {
				state.orphanedRuns.delete(workerId);
			}

			for (const target of listed) {
				if (!earlier?.has(keyOf(target))) {
					log.info('stray-stop', {...target, worker: workerId});
				}

				void stop(link, target);
			}
		},
	};
};
