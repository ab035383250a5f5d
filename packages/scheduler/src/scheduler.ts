import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {runElection} from './election.js';
import {createJobService, type JobService} from './job-service.js';
import {runLeader} from './leader.js';
import {createLeaderWatch} from './leader-watch.js';
import type {StoreHealth} from './store-health.js';
import type {SchedulerContext} from './types.js';

/** The scheduler of one instance. */
export type Scheduler = Readonly<{
	jobs: JobService;
	/** Whether the leader key has been read from the store. */
	isReady: () => boolean;
	/** Gives up the leadership and does not stand for election again. */
	resign: () => void;
}>;

/**
Starts the scheduler of an instance: it serves callers, and leads while it is elected.

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
	const leader = createLeaderWatch({store, health, log});
	let isResigned = false;

	lifecycle.run('leader-watch', leader.run);
	lifecycle.run('election', async (signal) =>
		runElection({
			context,
			leader,
			health,
			lead: async (term) => runLeader({context, health, term}),
			isCandidate: () => !isResigned && context.declarations() !== undefined,
			signal,
		}),
	);

	return {
		jobs: createJobService({store, health, log, metrics}),
		isReady: leader.isLoaded,
		resign() {
			isResigned = true;
		},
	};
};
