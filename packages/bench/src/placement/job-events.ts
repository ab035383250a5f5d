import type {Block, JobRecord} from '@bergamotgauge/model';
import {recordRunTime} from '@bergamotgauge/placement';
import type {Event, Replay} from './replay-state.js';
import type {TraceJob} from './types.js';
import {release, type Attempt, type Simulation} from './simulation.js';

/** Whether an attempt on these workers would fail at the current time. */
export const isFailingOn = (simulation: Simulation, {isFaulty = false}: TraceJob, blocks: readonly Block[]): boolean =>
	isFaulty || blocks.some(({worker}) => simulation.failing.has(worker));

const requeue = ({simulation}: Replay, entry: TraceJob, changes: Partial<JobRecord>): void => {
	const job = simulation.waiting.get(entry.job.id);
	if (job) {
		simulation.waiting.set(job.id, {...job, attempt: job.attempt + 1, ...changes});
	}
};

const handleSuccess = ({simulation, observations}: Replay, {entry, placement}: Attempt): void => {
	const {job, trueSeconds} = entry;
	simulation.waiting.delete(job.id);
	observations.succeeded += 1;
	observations.ratios.push((simulation.nowMs - job.submittedAtMs) / 1000 / trueSeconds);
	simulation.runTimes = recordRunTime(simulation.runTimes, job, trueSeconds);
	for (const {worker} of placement.blocks) {
		simulation.outcomes.push({worker, job: job.id, isSuccess: true, atMs: simulation.nowMs});
	}
};

const handleFailure = (replay: Replay, {entry, placement}: Attempt): void => {
	const {simulation, observations, policy} = replay;
	const failedBlock = placement.blocks.find(({worker}) => simulation.failing.has(worker)) ?? placement.blocks[0]!;
	simulation.outcomes.push({worker: failedBlock.worker, job: entry.job.id, isSuccess: false, atMs: simulation.nowMs});
	const job = simulation.waiting.get(entry.job.id)!;
	const jobClass = simulation.trace.bundle.jobClasses.find(({name}) => name === job.jobClass)!;
	const failedOn = [...job.failedOn, failedBlock.worker];
	// The planner decides itself when a job ends; for the baselines, the retry rule and the attempt limit decide.
	const isEnded =
		!policy.isPlanner && (jobClass.retryRule === 'at-most-once' || failedOn.length >= jobClass.maxAttempts);
	if (isEnded) {
		simulation.waiting.delete(job.id);
		observations.wronglyFailed += Number(!entry.isFaulty);
	} else {
		requeue(replay, entry, {failedOn, ranSeconds: 0});
		simulation.savedSeconds.delete(job.id);
	}
};

const finishAttempt = (replay: Replay, attempt: Attempt): void => {
	const {simulation} = replay;
	if (simulation.running.get(attempt.placement.job) !== attempt) {
		return;
	}

	const isFailing = attempt.isFailing || isFailingOn(simulation, attempt.entry, attempt.placement.blocks);
	const ranSeconds = (simulation.nowMs - attempt.startMs) / 1000;
	release(simulation, attempt, isFailing && !attempt.entry.isFaulty ? ranSeconds : 0);
	if (isFailing) {
		handleFailure(replay, attempt);
	} else {
		handleSuccess(replay, attempt);
	}
};

const finishEviction = (replay: Replay, attempt: Attempt, isSaved: boolean): void => {
	const {simulation} = replay;
	if (simulation.running.get(attempt.placement.job) !== attempt) {
		return;
	}

	const {job} = attempt.entry;
	const saved = simulation.savedSeconds.get(job.id) ?? 0;
	const jobClass = simulation.trace.bundle.jobClasses.find(({name}) => name === job.jobClass)!;
	const checkpointSeconds = isSaved ? jobClass.checkpointSeconds : 0;
	const workedSeconds = Math.max(0, (simulation.nowMs - attempt.workMs) / 1000 - checkpointSeconds);
	release(simulation, attempt, isSaved ? checkpointSeconds : workedSeconds);
	const totalSavedSeconds = saved + (isSaved ? workedSeconds : 0);
	simulation.savedSeconds.set(job.id, totalSavedSeconds);
	requeue(replay, attempt.entry, {ranSeconds: totalSavedSeconds});
};

const loseWorkers = (replay: Replay, workers: ReadonlySet<string>): void => {
	const {simulation} = replay;
	for (const attempt of simulation.running.values()) {
		if (attempt.placement.blocks.some(({worker}) => workers.has(worker))) {
			release(simulation, attempt, Math.max(0, simulation.nowMs - attempt.workMs) / 1000, true);
			const {job} = attempt.entry;
			const jobClass = simulation.trace.bundle.jobClasses.find(({name}) => name === job.jobClass)!;
			if (jobClass.retryRule === 'at-most-once') {
				// An at-most-once job may have run, so no policy may retry it.
				simulation.waiting.delete(job.id);
			} else {
				requeue(replay, attempt.entry, {});
			}
		}
	}
};

const cancelJob = ({simulation}: Replay, id: string): void => {
	simulation.waiting.delete(id);
	const attempt = simulation.running.get(id);
	if (attempt) {
		release(simulation, attempt, 0);
	}
};

/** Applies an event that the policy does not control: an arrival, an end, a cancellation or an outage. */
export const handleEvent = (replay: Replay, event: Exclude<Event, {kind: 'pass'}>): void => {
	const {simulation, events} = replay;
	switch (event.kind) {
		case 'arrive': {
			const {job, cancelAfterSeconds} = event.entry;
			simulation.waiting.set(job.id, job);
			if (cancelAfterSeconds !== undefined) {
				events.push(simulation.nowMs + cancelAfterSeconds * 1000, {kind: 'cancel', job: job.id});
			}

			break;
		}

		case 'cancel': {
			cancelJob(replay, event.job);
			break;
		}

		case 'finish': {
			finishAttempt(replay, event.attempt);
			break;
		}

		case 'evicted': {
			finishEviction(replay, event.attempt, event.isSaved);
			break;
		}

		case 'outage': {
			const {kind, workers} = simulation.trace.outages[event.index]!;
			const affected = kind === 'lost' ? simulation.workersDown : simulation.failing;
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
