import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {runKeyWatch} from '@bergamotgauge/store';
import {ROOT_PREFIX, WATCH_PAUSE_MS, WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS, WATCH_WAIT_MS} from './constants.js';
import {runElection} from './election.js';
import {createJobService, type JobService} from './job-service.js';
import {createJobTable, type JobTable} from './job-table.js';
import {runLeader} from './leader.js';
import type {StoreHealth} from './store-health.js';
import type {SchedulerContext} from './types.js';

/** The scheduler of one instance. */
export type Scheduler = Readonly<{
	jobs: JobService;
	table: JobTable;
	/** Whether the copy of the stored jobs has been read. */
	isReady: () => boolean;
	/** Gives up the leadership and takes part in no further election. */
	resign: () => void;
}>;

/**
Starts the scheduler of an instance: it follows the stored jobs, serves callers, and leads while it is elected.

@example
```ts
const scheduler = startScheduler({context, health, lifecycle});
await scheduler.jobs.submit({queue, customer, submission});
```
*/
export const startScheduler = ({
	context,
	health,
	lifecycle,
}: Readonly<{context: SchedulerContext; health: StoreHealth; lifecycle: Lifecycle}>): Scheduler => {
	const {store, log, metrics} = context;
	const table = createJobTable(log);
	let isResigned = false;

	lifecycle.run('jobs-watch', async (signal) =>
		runKeyWatch({
			store,
			prefix: ROOT_PREFIX,
			waitMs: WATCH_WAIT_MS,
			pauseMs: WATCH_PAUSE_MS,
			retryMinMs: WATCH_RETRY_MIN_MS,
			retryMaxMs: WATCH_RETRY_MAX_MS,
			onChanges: table.apply,
			onFailure(error) {
				log.debug('watch-failed', {prefix: ROOT_PREFIX, error: error.message});
			},
			now: health.now,
			signal,
		}),
	);
	lifecycle.run('election', async (signal) =>
		runElection({
			context,
			table,
			health,
			lead: async (term) => runLeader({context, table, health, term}),
			isCandidate: () => !isResigned && context.declarations() !== undefined,
			signal,
		}),
	);

	return {
		jobs: createJobService({store, table, health, log, metrics}),
		table,
		isReady: table.isLoaded,
		resign() {
			isResigned = true;
		},
	};
};
