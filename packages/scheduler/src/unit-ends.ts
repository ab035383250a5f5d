import {parseUnitName, type UnitName} from '@bergamotgauge/jobs';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {partOf, stepOf, type ActiveJob, type Part} from './active-job.js';
import {describeGang} from './gangs.js';
import {recordEnd} from './job-outcome.js';
import {expectedObjectiveMs, isDataLocal, partRunFactor, type LeaderState} from './leader-state.js';
import type {Placements} from './placements.js';
import {observeEnd, withRun} from './speed/observe-runs.js';
import type {EndedUnit} from './types.js';
import {isSlow, recordFailure, recordSuccess} from './worker-evidence.js';
import type {WorkerLink} from './worker-link-types.js';

export type UnitEndsOptions = Readonly<{
	state: LeaderState;
	placements: Placements;
	/** Number of the term. */
	term: number;
	log: Log;
	metrics: Metrics;
	now: () => number;
}>;

/** Handles the ends of units and jobs. */
export type UnitEnds = Readonly<{
	/** Records the end of a unit and returns the job that it changes; `undefined` for a unit of no active job. */
	handle: (link: WorkerLink, end: EndedUnit) => ActiveJob | undefined;
	/** Logs the outcome of a job that has just ended, and stops its remaining units unless it has completed. */
	finishJob: (activeJob: ActiveJob) => void;
}>;

/** Creates the handler of unit and job ends for a term. */
export const createUnitEnds = ({state, placements, term, log, metrics, now}: UnitEndsOptions): UnitEnds => {
	const finishJob = (activeJob: ActiveJob) => {
		const {id, queue, customer, priority, acceptedMs} = activeJob.job;
		const ageMs = Date.now() - acceptedMs;
		const outcome = activeJob.outcome ?? 'failed';
		log.info('job-ended', {
			job: id,
			outcome,
			cause: activeJob.failure,
			queue,
			customer,
			ageMs,
			objectiveMs: Math.round(expectedObjectiveMs(state, activeJob)),
		});
		metrics.count('jobs_ended_total', {outcome, customer, ...(activeJob.failure && {cause: activeJob.failure})});
		metrics.observe('job_milliseconds', ageMs, {customer, class: String(priority)});
		if (outcome !== 'completed') {
			for (const part of activeJob.parts.values()) {
				placements.stop(activeJob, part, `job-${outcome}`);
			}
		}
	};

	const recordUnitEnd = (
		activeJob: ActiveJob,
		part: Part,
		end: EndedUnit & Readonly<{workerId: string; startedMs: number | undefined}>,
		name: UnitName,
	) => {
		const placement = part.placements.find(
			({workerId, index, run: placed}) => workerId === end.workerId && index === name.index && placed === end.run,
		);
		if (end.how === 'alone') {
			log.warn('gang-alone', {
				unit: end.unit,
				run: end.run,
				worker: end.workerId,
				term,
				...describeGang(part, end.run),
			});
		}

		metrics.count('unit_ends_total', {how: end.how});
		const isLocal = isDataLocal(state, activeJob, part);
		const ranMs = placement && Math.round(now() - placement.startedMs);
		const runFactor = partRunFactor(state, part);
		const effect = recordEnd(activeJob, part, {...end, index: name.index}, Date.now());
		log.info('unit-ended', {
			unit: end.unit,
			run: end.run,
			how: end.how,
			worker: end.workerId,
			effect,
			failures: part.failures,
			ranMs,
		});
		if (end.how === 'failed' && effect === 'counted' && state.policy.countsFailures()) {
			recordFailure(state, end.workerId, activeJob.job.id, now());
		} else if (end.how === 'done') {
			recordSuccess(state, end.workerId, now());
			const isTypical = placement?.isFullRun && isLocal && !isSlow(state, end.workerId, now());
			if (effect === 'counted' && isTypical && ranMs !== undefined) {
				const typicalMs = ranMs / runFactor;
				state.runTimes.observe(activeJob.job.queue, stepOf(activeJob, part).estimateMs, typicalMs);
				observeEnd(state, {activeJob, part, placement}, ranMs, now());
				activeJob.stepTimes.set(part.step, withRun(activeJob.stepTimes.get(part.step), typicalMs));
			}
		}
	};

	return {
		finishJob,
		handle(link, end) {
			const name = parseUnitName(end.unit);
			const activeJob = name && state.activeJobs.get(name.jobId);
			const part = activeJob && partOf(activeJob, name.occurrence, name.step, name.index);
			if (!name || !activeJob || !part) {
				return undefined;
			}

			const hadOutcome = activeJob.outcome !== undefined;
			recordUnitEnd(activeJob, part, {...end, workerId: link.worker.id, startedMs: link.startedMs()}, name);
			if (part.placements.length === 0) {
				part.waitingSinceMs = undefined;
			} else if (end.how !== 'done' && part.placements.some(({run}) => run === end.run)) {
				// A gang makes no progress without all of its members.
				placements.stop(activeJob, part, 'gang-broken');
			}

			if (activeJob.outcome !== undefined && !hadOutcome) {
				finishJob(activeJob);
			}

			return activeJob;
		},
	};
};
