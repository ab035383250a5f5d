import {
	MAX_TASK_ENDS,
	toServiceError,
	type Block,
	type JobClass,
	type JobRecord,
	type Placement,
	type ServiceError,
	type TaskReport,
} from '@bergamotgauge/model';
import type {TaskReference, WorkerClient} from '@bergamotgauge/worker';
import {TOO_MANY_REQUESTS_STATUS} from './constants.js';
import {bundleOf, type Context} from './context.js';
import {reportsOf} from './gang.js';
import type {JobStore} from './job-store.js';
import type {RackWriter} from './rack-writer.js';
import type {WorkerLinks} from './worker-links.js';

export type GangActionOptions = Readonly<{
	context: Context;
	jobs: JobStore;
	links: WorkerLinks;
	racks: RackWriter;
}>;

/** The placement of one attempt of a job, with its rack and its job record. */
export type Gang = Readonly<{
	rack: string;
	placement: Placement;
	job: JobRecord | undefined;
}>;

const referenceOf = ({job, attempt, token}: Placement): TaskReference => ({job, attempt, token});

/** The declared class of the gang's job. */
export const classOf = ({context}: GangActionOptions, {placement}: Gang): JobClass | undefined =>
	bundleOf(context.replica)?.jobClasses.find(({name}) => name === placement.jobClass);

/** Calls every worker of the gang concurrently. Workers whose lease has expired have stopped their tasks and are skipped. */
const callWorkers = async (
	{links}: GangActionOptions,
	{placement}: Gang,
	call: (client: WorkerClient, block: Block, index: number) => Promise<number>,
): Promise<void> => {
	await Promise.all(
		placement.blocks.map(async (block, index) => {
			const client = links.client(block.worker);
			if (client && !links.isLeaseExpired(block.worker)) {
				links.requireSequence(block.worker, await call(client, block, index));
			}
		}),
	);
};

const stopTasks = async (options: GangActionOptions, gang: Gang): Promise<void> =>
	callWorkers(options, gang, async (client) => client.stop(referenceOf(gang.placement)));

/** Stops the tasks that can still run. Ended tasks are kept: stopping them discards their state, which recovery needs if this instance crashes. */
const stopUnfinished = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const reports = reportsOf(gang.placement, options.links.tasks);
	await callWorkers(options, gang, async (client, _block, index) => {
		const state = reports[index]?.state;
		return state === 'running' || state === 'prepared' ? client.stop(referenceOf(gang.placement)) : 0;
	});
};

/** Stops the tasks on every worker and removes the placement with one write. */
export const releaseGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const {rack, placement} = gang;
	// Accelerators are released only after their tasks have stopped.
	await stopTasks(options, gang);
	await options.racks.write(rack, (record) => {
		const placements = record.placements.filter(
			({job, attempt, token}) => job !== placement.job || attempt !== placement.attempt || token !== placement.token,
		);
		return placements.length === record.placements.length ? undefined : {...record, placements};
	});
};

/** Assigns the attempt to this placement unless another placement holds it; returns whether this placement holds it now. */
const assign = async ({jobs}: GangActionOptions, {rack, placement}: Gang): Promise<boolean> => {
	const {job, attempt, token} = placement;
	const record = await jobs.update(job, (current) =>
		current.attempt === attempt && !current.assignment && !current.cancelRequested
			? {...current, assignment: {rack, token}}
			: current,
	);
	return record?.attempt === attempt && record.assignment?.rack === rack && record.assignment.token === token;
};

/** Prepares every worker of the gang, assigns the attempt, then starts every task. No task starts before all workers have prepared. */
export const startGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const {placement, job} = gang;
	if (!job) {
		return;
	}

	if (!job.assignment && placement.blocks.some(({worker}) => options.links.isDown(worker))) {
		await releaseGang(options, gang);
		return;
	}

	await callWorkers(options, gang, async (client, block, index) =>
		client.prepare({
			...referenceOf(placement),
			block,
			cores: block.count * job.coresPerAccelerator,
			memoryGigabytes: block.count * job.memoryGigabytesPerAccelerator,
			isLead: index === 0,
			...(job.checkpointAttempt !== undefined && {resumeFrom: job.checkpointAttempt}),
			payload: job.payload,
		}),
	);
	if (await assign(options, gang)) {
		await callWorkers(options, gang, async (client) => client.start(referenceOf(placement)));
	}
};

/** Appends the results of the gang's ended tasks to the job record. */
const withTaskEnds = (
	record: JobRecord,
	placement: Placement,
	reports: ReadonlyArray<TaskReport | undefined>,
): JobRecord => {
	const atMs = Date.now();
	const ends = placement.blocks.flatMap(({worker}, index) => {
		const state = reports[index]?.state;
		return state === 'succeeded' || state === 'failed' ? [{worker, isSuccess: state === 'succeeded', atMs}] : [];
	});
	return {...record, taskEnds: [...(record.taskEnds ?? []), ...ends].slice(-MAX_TASK_ENDS)};
};

/** Records the answer of the first task as the job's answer, then releases the accelerators. */
export const succeedGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const {placement} = gang;
	const reports = reportsOf(placement, options.links.tasks);
	const outcome = {
		kind: 'succeeded',
		verdict: 'ran',
		reason: 'all tasks succeeded',
		answer: reports[0]?.answer,
	} as const;
	await options.jobs.end(placement.job, outcome, (record) => ({
		...withTaskEnds(record, placement, reports),
		ranSeconds: record.ranSeconds + (Date.now() - placement.placedAtMs) / 1000,
	}));
	await releaseGang(options, gang);
};

const withNextAttempt = (record: JobRecord, {attempt, placedAtMs}: Placement): JobRecord => {
	if (record.attempt !== attempt) {
		return record;
	}

	const {assignment: _, ...rest} = record;
	const ranSeconds = record.ranSeconds + (Date.now() - placedAtMs) / 1000;
	return {...rest, attempt: attempt + 1, ranSeconds};
};

/** Queues the next attempt, or ends an at-most-once job that may have run. */
export const requeueGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const {placement, job} = gang;
	const reports = reportsOf(placement, options.links.tasks);
	const isCheckpointed = reports.every((report) => report?.state === 'checkpointed' || report?.state === 'succeeded');
	// The next attempt starts only when no task of this one can still run.
	await stopUnfinished(options, gang);
	if (job?.assignment && !isCheckpointed && classOf(options, gang)?.retryRule !== 'idempotent') {
		await options.jobs.end(placement.job, {
			kind: 'unknown',
			verdict: 'may-have-run',
			reason: 'the attempt stopped after its start and the class allows no second one',
		});
	} else {
		await options.jobs.update(placement.job, (record) => {
			const next = withNextAttempt(record, placement);
			return next === record || !isCheckpointed ? next : {...next, checkpointAttempt: placement.attempt};
		});
	}

	await releaseGang(options, gang);
};

/** Records the failure and queues the next attempt, or ends an at-most-once job. */
export const failGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const {placement} = gang;
	const reports = reportsOf(placement, options.links.tasks);
	const failed = reports.find((report) => report?.state === 'failed');
	const failedWorkers = placement.blocks
		.filter((_, index) => reports[index]?.state === 'failed')
		.map(({worker}) => worker);
	const jobClass = classOf(options, gang);
	await stopUnfinished(options, gang);
	if (jobClass?.retryRule === 'idempotent') {
		// The planner ends the job once it has failed on several workers that are themselves healthy.
		await options.jobs.update(placement.job, (record) => {
			const next = withNextAttempt(record, placement);
			return next === record
				? record
				: {
						...withTaskEnds(next, placement, reports),
						failedOn: [...new Set([...record.failedOn, ...failedWorkers])],
					};
		});
	} else {
		await options.jobs.end(
			placement.job,
			{kind: 'failed', verdict: 'ran', reason: failed?.reason ?? 'a task failed'},
			(record) => withTaskEnds(record, placement, reports),
		);
	}

	await releaseGang(options, gang);
};

/** Stops the tasks, ends the job as cancelled and releases the accelerators. */
export const cancelGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	await stopTasks(options, gang);
	// An earlier attempt may have run, also when this one was never started.
	const mayHaveRun = gang.job?.assignment !== undefined || gang.placement.attempt > 1;
	await options.jobs.end(gang.placement.job, {
		kind: 'cancelled',
		verdict: mayHaveRun ? 'may-have-run' : 'not-run',
		reason: 'the caller cancelled the job',
	});
	await releaseGang(options, gang);
};

/** Whether a worker refused a call with a client error that does not pass with time. */
const isLastingRefusal = ({verdict, status}: ServiceError): boolean =>
	verdict === 'not-run' && status < 500 && status !== TOO_MANY_REQUESTS_STATUS;

/** Checkpoints every task. A task is stopped if its worker refuses the checkpoint for good, or if it is not made within the grace period. */
export const checkpointGang = async (options: GangActionOptions, gang: Gang): Promise<void> => {
	const {placement} = gang;
	if (Date.now() >= (placement.evictByMs ?? 0)) {
		await stopTasks(options, gang);
		return;
	}

	await callWorkers(options, gang, async (client) => {
		try {
			return await client.checkpoint(referenceOf(placement));
		} catch (error) {
			const failure = toServiceError(error, 'may-have-run');
			options.context.log.warn('checkpoint-failed', {job: placement.job, error: failure.message});
			if (isLastingRefusal(failure)) {
				return client.stop(referenceOf(placement));
			}

			// A stop would discard the progress, or the checkpoint if it was made; the next pass asks again.
			throw error;
		}
	});
};
