import {Buffer} from 'node:buffer';
import {
	ENDED_JOB_RETENTION_MS,
	jobShardKey,
	MAX_JOB_ANSWER_BYTES,
	newJobId,
	ServiceError,
	toServiceError,
	type JobOutcome,
	type JobRecord,
	type JobShardRecord,
	type JobSpecification,
} from '@bergamotgauge/model';
import {checkSubmission} from '@bergamotgauge/placement';
import {createGroupCommit, STORE_RETRY_AFTER_MS, type GroupCommit} from '@bergamotgauge/store';
import {validate, version} from 'uuid';
import {RECENT_JOB_MS} from './constants.js';
import {allJobs, bundleOf, type Context} from './context.js';

const EMPTY_SHARD: JobShardRecord = {jobs: {}};

/** Writes job records. */
export type JobStore = Readonly<{
	submit: (customer: string, specification: JobSpecification) => Promise<JobRecord>;
	/** Changes a queued job; returns undefined when the job does not exist or has ended. */
	update: (job: string, change: (record: JobRecord) => JobRecord) => Promise<JobRecord | undefined>;
	/** Ends a queued job; `change` applies to the record in the same write. */
	end: (
		job: string,
		outcome: Omit<JobOutcome, 'endedAtMs'>,
		change?: (record: JobRecord) => JobRecord,
	) => Promise<JobRecord | undefined>;
	get: (job: string) => JobRecord | undefined;
	/** Reads the job's shard from the store. */
	reload: (job: string) => Promise<void>;
	/** Reads the store for a recent job that may not have reached this replica yet. */
	refresh: (job: string) => Promise<void>;
}>;

const withJob = (shard: JobShardRecord, job: JobRecord): JobShardRecord => ({jobs: {...shard.jobs, [job.id]: job}});

const withoutExpired = (shard: JobShardRecord, nowMs: number): JobShardRecord => ({
	jobs: Object.fromEntries(
		Object.entries(shard.jobs).filter(
			([, job]) => job.state === 'queued' || (job.outcome?.endedAtMs ?? 0) > nowMs - ENDED_JOB_RETENTION_MS,
		),
	),
});

/** Whether a job may be missing in a replica. Ids carry their submission time; older jobs are in every replica, so an unknown older id needs no store read. */
const isRecentJob = (job: string, nowMs: number): boolean => {
	if (!validate(job) || version(job) !== 7) {
		return false;
	}

	const submittedMs = Number.parseInt(job.replaceAll('-', '').slice(0, 12), 16);
	return Math.abs(nowMs - submittedMs) < RECENT_JOB_MS;
};

const limitAnswerSize = (answer: unknown): unknown => {
	const size = Buffer.byteLength(JSON.stringify(answer) ?? '');
	return size <= MAX_JOB_ANSWER_BYTES
		? answer
		: {error: `the answer has ${size} bytes, more than ${MAX_JOB_ANSWER_BYTES}`};
};

const checkQueueQuota = (context: Context, customerName: string): void => {
	const customer = bundleOf(context.replica)?.customers.find(({name}) => name === customerName);
	const queued = allJobs(context.replica).filter(
		(job) => job.customer === customerName && job.state === 'queued',
	).length;
	if (customer && queued >= customer.quota.queuedJobs) {
		throw new ServiceError(`customer ${customerName} has ${queued} queued jobs and has reached its quota`, {
			code: 'over-quota',
			verdict: 'not-run',
			retryAfterMs: 5000,
		});
	}
};

/**
Creates the writer of job records. Changes of one shard are group-committed.

@example
```ts
const job = await jobs.submit('acme', specification);
```
*/
export const createJobStore = (context: Context): JobStore => {
	const shards = new Map<string, GroupCommit<JobShardRecord>>();

	const shardOf = (job: string): GroupCommit<JobShardRecord> => {
		const key = jobShardKey(job);
		let shard = shards.get(key);
		if (!shard) {
			shard = createGroupCommit<JobShardRecord>({
				store: context.store,
				key,
				empty: EMPTY_SHARD,
				known: () => context.replica.get(key),
				onWritten: context.publish,
			});
			shards.set(key, shard);
		}

		return shard;
	};

	const get = (job: string): JobRecord | undefined => {
		const shard = context.replica.get(jobShardKey(job)).value as JobShardRecord | undefined;
		return shard && Object.hasOwn(shard.jobs, job) ? shard.jobs[job] : undefined;
	};

	const reload = async (job: string): Promise<void> => {
		context.replica.applyEntry(await context.store.get(jobShardKey(job)));
	};

	const refresh = async (job: string): Promise<void> => {
		const isKnown = get(job) !== undefined;
		if (isKnown || !isRecentJob(job, Date.now())) {
			return;
		}

		try {
			await reload(job);
		} catch (error) {
			throw new ServiceError('the job is not replicated to this instance yet and the store does not answer', {
				code: 'store-unavailable',
				verdict: 'may-have-run',
				retryAfterMs: STORE_RETRY_AFTER_MS,
				cause: toServiceError(error, 'not-run'),
			});
		}
	};

	const update: JobStore['update'] = async (job, change) =>
		shardOf(job).submit((shard) => {
			const record = shard.jobs[job];
			if (record?.state !== 'queued') {
				return {value: shard, result: undefined};
			}

			const next = change(record);
			return {value: withJob(shard, next), result: next};
		});

	return {
		get,
		refresh,
		reload,
		update,
		async submit(customer, specification) {
			const bundle = bundleOf(context.replica);
			if (!bundle) {
				throw new ServiceError('no configuration is in force', {
					code: 'draining',
					verdict: 'not-run',
					retryAfterMs: 1000,
				});
			}

			checkSubmission(bundle, customer, specification);
			checkQueueQuota(context, customer);
			const job: JobRecord = {
				...specification,
				id: newJobId(),
				customer,
				submittedAtMs: Date.now(),
				attempt: 1,
				failedOn: [],
				cancelRequested: false,
				state: 'queued',
				ranSeconds: 0,
			};
			await shardOf(job.id).submit((shard) => ({
				value: withJob(withoutExpired(shard, job.submittedAtMs), job),
				result: job,
			}));
			context.log.info('job-accepted', {job: job.id, customer, accelerators: job.accelerators});
			return job;
		},
		async end(job, outcome, change = (record) => record) {
			const ended = await update(job, (record) => ({
				...change(record),
				state: 'ended',
				outcome: {
					...outcome,
					...(outcome.answer !== undefined && {answer: limitAnswerSize(outcome.answer)}),
					endedAtMs: Date.now(),
				},
			}));
			if (ended) {
				context.log.info('job-ended', {job, outcome: outcome.kind, verdict: outcome.verdict, reason: outcome.reason});
				context.metrics.observe('job_milliseconds', Date.now() - ended.submittedAtMs, {
					customer: ended.customer,
					class: ended.jobClass,
					outcome: outcome.kind,
				});
			}

			return ended;
		},
	};
};
