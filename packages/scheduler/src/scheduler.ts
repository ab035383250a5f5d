import {getHeapStatistics} from 'node:v8';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {createAdmission} from './admission/admission.js';
import {memoryLimitBytes} from './admission/memory.js';
import {decodeBacklog} from './admission/publish-backlog.js';
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
	const limitBytes = memoryLimitBytes({memoryMb: context.memoryMb, heapBytes: getHeapStatistics().heap_size_limit});
	const leader = createLeaderWatch({
		store,
		health,
		log,
		onBacklog(value) {
			admission.setBacklog(decodeBacklog(value));
		},
	});
	const admission = createAdmission({
		limitBytes,
		guaranteeOf: (customer) =>
			context.declarations()?.customers.find(({name}) => name === customer)?.guaranteedAccelerators ?? 0,
		isVacant: leader.isVacant,
		now: health.clocks.now,
		random: Math.random,
	});
	let isResigned = false;

	lifecycle.run('leader-watch', leader.run);
	lifecycle.run('election', async (signal) =>
		runElection({
			context,
			leader,
			health,
			lead: async (term) => runLeader({context, health, term, limitBytes}),
			isCandidate: () => !isResigned && context.declarations() !== undefined,
			signal,
		}),
	);

	return {
		jobs: createJobService({store, health, bounds: context.bounds, admission, log, metrics}),
		isReady: leader.isLoaded,
		resign() {
			isResigned = true;
		},
	};
};
