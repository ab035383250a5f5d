import type {Block, JobRecord} from '@bergamotgauge/model';
import {recordRunTime} from '@bergamotgauge/placement';
import type {Event, Replay} from './replay-state.js';
import type {TraceJob} from './types.js';
import {release, type Attempt, type World} from './world.js';

/** Whether an attempt on these workers fails now. */
export const isFailingOn = (world: World, {isFaulty = false}: TraceJob, blocks: readonly Block[]): boolean =>
	isFaulty || blocks.some(({worker}) => world.failing.has(worker));

const requeue = ({world}: Replay, entry: TraceJob, changes: Partial<JobRecord>): void => {
	const job = world.waiting.get(entry.job.id);
	if (job) {
		world.waiting.set(job.id, {...job, attempt: job.attempt + 1, ...changes});
	}
};

const succeed = ({world, observed}: Replay, {entry, placement}: Attempt): void => {
	const {job, trueSeconds} = entry;
	world.waiting.delete(job.id);
	observed.succeeded += 1;
	observed.ratios.push((world.nowMs - job.submittedAtMs) / 1000 / trueSeconds);
	world.runTimes = recordRunTime(world.runTimes, job, trueSeconds);
	for (const {worker} of placement.blocks) {
		world.outcomes.push({worker, job: job.id, isSuccess: true, atMs: world.nowMs});
	}
};

const fail = (replay: Replay, {entry, placement}: Attempt): void => {
	const {world, observed, policy} = replay;
	const bad = placement.blocks.find(({worker}) => world.failing.has(worker)) ?? placement.blocks[0]!;
	world.outcomes.push({worker: bad.worker, job: entry.job.id, isSuccess: false, atMs: world.nowMs});
	const job = world.waiting.get(entry.job.id)!;
	const jobClass = world.trace.bundle.jobClasses.find(({name}) => name === job.jobClass)!;
	const failedOn = [...job.failedOn, bad.worker];
	// Our policy decides itself when a job ends; the baselines get the plain limit of attempts.
	const isEnded = !policy.isOurs && (jobClass.retryRule === 'at-most-once' || failedOn.length >= jobClass.maxAttempts);
	if (isEnded) {
		world.waiting.delete(job.id);
		observed.wronglyFailed += Number(!entry.isFaulty);
	} else {
		requeue(replay, entry, {failedOn, ranSeconds: 0});
		world.savedSeconds.delete(job.id);
	}
};

const finish = (replay: Replay, attempt: Attempt): void => {
	const {world} = replay;
	if (world.running.get(attempt.placement.job) !== attempt) {
		return;
	}

	const isFailing = attempt.isFailing || isFailingOn(world, attempt.entry, attempt.placement.blocks);
	const ranSeconds = (world.nowMs - attempt.startMs) / 1000;
	release(world, attempt, isFailing && !attempt.entry.isFaulty ? ranSeconds : 0);
	if (isFailing) {
		fail(replay, attempt);
	} else {
		succeed(replay, attempt);
	}
};

const evicted = (replay: Replay, attempt: Attempt, isSaved: boolean): void => {
	const {world} = replay;
	if (world.running.get(attempt.placement.job) !== attempt) {
		return;
	}

	const {job} = attempt.entry;
	const saved = world.savedSeconds.get(job.id) ?? 0;
	const jobClass = world.trace.bundle.jobClasses.find(({name}) => name === job.jobClass)!;
	const checkpointSeconds = isSaved ? jobClass.checkpointSeconds : 0;
	const workedSeconds = Math.max(0, (world.nowMs - attempt.workMs) / 1000 - checkpointSeconds);
	release(world, attempt, isSaved ? checkpointSeconds : workedSeconds);
	const kept = saved + (isSaved ? workedSeconds : 0);
	world.savedSeconds.set(job.id, kept);
	requeue(replay, attempt.entry, {ranSeconds: kept});
};

const loseWorkers = (replay: Replay, workers: ReadonlySet<string>): void => {
	const {world} = replay;
	for (const attempt of world.running.values()) {
		if (attempt.placement.blocks.some(({worker}) => workers.has(worker))) {
			release(world, attempt, Math.max(0, world.nowMs - attempt.workMs) / 1000, true);
			const {job} = attempt.entry;
			const jobClass = world.trace.bundle.jobClasses.find(({name}) => name === job.jobClass)!;
			if (jobClass.retryRule === 'at-most-once') {
				// It may have run, so it gets no second attempt under any policy.
				world.waiting.delete(job.id);
			} else {
				requeue(replay, attempt.entry, {});
			}
		}
	}
};

const cancel = ({world}: Replay, id: string): void => {
	world.waiting.delete(id);
	const attempt = world.running.get(id);
	if (attempt) {
		release(world, attempt, 0);
	}
};

/** Takes over what happens outside the policy: arrivals, ends, cancellations and outages. */
export const handle = (replay: Replay, event: Exclude<Event, {kind: 'pass'}>): void => {
	const {world, events} = replay;
	switch (event.kind) {
		case 'arrive': {
			const {job, cancelAfterSeconds} = event.entry;
			world.waiting.set(job.id, job);
			if (cancelAfterSeconds !== undefined) {
				events.push(world.nowMs + cancelAfterSeconds * 1000, {kind: 'cancel', job: job.id});
			}

			break;
		}

		case 'cancel': {
			cancel(replay, event.job);
			break;
		}

		case 'finish': {
			finish(replay, event.attempt);
			break;
		}

		case 'evicted': {
			evicted(replay, event.attempt, event.isSaved);
			break;
		}

		case 'outage': {
			const {kind, workers} = world.trace.outages[event.index]!;
			const affected = kind === 'lost' ? world.workersDown : world.failing;
			for (const worker of workers) {
				if (event.isStart) {
					affected.add(worker);
				} else {
					affected.delete(worker);
				}
			}

			if (kind === 'lost' && event.isStart) {
				loseWorkers(replay, new Set(workers));
			}

			break;
		}
	}
};
