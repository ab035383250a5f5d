import {checkSubmission, decodeJob, type Job, type JobState, type JobStatus} from '@bergamotgauge/jobs';
import {ServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {Admission} from './admission/admission.js';
import {createJobIntake} from './admission/job-intake.js';
import {createCancellation} from './callers/cancellation.js';
import {createJobReader, createUnavailableError} from './callers/job-reader.js';
import {createTransact} from './callers/transact.js';
import type {JobAddress} from './callers/types.js';
import {stateOf} from './job-entry.js';
import {createPendingReader} from './pending-counts.js';
import type {StoreHealth} from './store-health.js';
import type {Bounds, JobRequest, Queue} from './types.js';

export type JobServiceOptions = Readonly<{
	store: KeyValueStore;
	health: StoreHealth;
	bounds: Pick<Bounds, 'stateRetentionMs'>;
	/** Without it, all jobs are accepted. */
	admission?: Admission;
	log: Log;
	metrics: Metrics;
}>;

/** Operations that callers may request. */
export type JobService = Readonly<{
	/** Resolves when the job is stored. */
	submit: (request: JobRequest) => Promise<void>;
	state: (address: JobAddress) => Promise<JobState>;
	/** The state, with the cause if the job has failed. */
	status: (address: JobAddress) => Promise<JobStatus>;
	/** Resolves when the cancellation is stored. For a job that is not stored it fails with `not-found`, and a submission that is still under way is refused. */
	cancel: (address: JobAddress) => Promise<void>;
	/** Number of accepted jobs of the queue of which no unit has started; may be two seconds old. */
	countPending: (queue: Queue) => Promise<number>;
}>;

const isSameSubmission = (a: Job, b: Job): boolean =>
	a.queue === b.queue && a.customer === b.customer && a.spec === b.spec && a.steps.length === b.steps.length;

/**
Creates the service that handles callers' job requests.

@example
```ts
const service = createJobService({store, health, bounds, log, metrics});
await service.submit({queue, customer: 'acme', submission});
```
*/
export const createJobService = ({store, health, bounds, admission, log, metrics}: JobServiceOptions): JobService => {
	const readPending = createPendingReader(store, health.clocks.latestNow);
	const reader = createJobReader({store, health, bounds});

	const transact = createTransact(store, health.clocks);
	const intake = createJobIntake({store, admission, transact, log, metrics});

	return {
		async submit({queue, customer, submission}) {
			checkSubmission(submission);
			const {name, service, priority, attempts, stretch, targetLatencyMs, advice} = queue;
			const job: Job = {
				...submission,
				queue: name,
				service,
				priority,
				attempts,
				stretch,
				targetLatencyMs,
				advice,
				customer,
				acceptedMs: Date.now(),
			};
			if (health.isLost()) {
				metrics.count('jobs_refused_total', {queue: name, reason: 'store-lost'});
				throw createUnavailableError();
			}

			const item = await intake(queue, job);
			const stored = item && decodeJob(item.value);
			if (stored && !isSameSubmission(stored, job)) {
				throw new ServiceError(`job ${job.id} already exists with different content`, {
					code: 'conflict',
					verdict: 'not-run',
				});
			}

			metrics.count('jobs_accepted_total', {queue: name, customer, repeated: stored ? 'yes' : 'no'});
			log.info('job-accepted', {
				job: job.id,
				queue: name,
				customer,
				units: job.steps.reduce((sum, {count}) => sum + count, 0),
				repeated: stored !== undefined,
			});
		},
		state: async (address) => stateOf(await reader.findVisible(address)),
		async status(address) {
			const entry = await reader.findVisible(address);
			return {state: stateOf(entry), failure: entry.progress?.failure};
		},
		cancel: createCancellation({store, health, reader, transact, log, metrics}),
		async countPending(queue) {
			if (health.isLost()) {
				throw createUnavailableError();
			}

			return readPending(queue.name);
		},
	};
};
