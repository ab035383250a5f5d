import {parseUnitName, type UnitName} from '@bergamotgauge/jobs';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {recordEnd, partOf, stepOf, type JobRun, type Part} from './job-run.js';
import {expectedObjectiveMs, isDataLocal, type LeaderState} from './leader-state.js';
import type {Placements} from './placements.js';
import type {EndedUnit} from './types.js';
import {isSlow, recordFailure, recordSuccess} from './worker-evidence.js';
import type {WorkerLink} from './worker-link.js';

export type UnitEndsOptions = Readonly<{
	state: LeaderState;
	placements: Placements;
	log: Log;
	metrics: Metrics;
	now: () => number;
}>;

/** Handles the ends of units and jobs. */
export type UnitEnds = Readonly<{
	/** Records the end of a unit and returns the job that it changes; `undefined` for a unit of no active job. */
	handle: (link: WorkerLink, end: EndedUnit) => JobRun | undefined;
	/** Logs the outcome of a job that has just ended, and stops its remaining units unless it has completed. */
	finishJob: (run: JobRun) => void;
}>;

/** Creates the handler of unit and job ends for a term. */
export const createUnitEnds = ({state, placements, log, metrics, now}: UnitEndsOptions): UnitEnds => {
	const finishJob = (run: JobRun) => {
		const {id, queue, customer, priority, acceptedMs} = run.job;
		const ageMs = Date.now() - acceptedMs;
		const outcome = run.outcome ?? 'failed';
		log.info('job-ended', {
			job: id,
			outcome,
			queue,
			customer,
			ageMs,
			objectiveMs: Math.round(expectedObjectiveMs(state, run)),
		});
		metrics.count('jobs_ended_total', {outcome, customer});
		metrics.observe('job_milliseconds', ageMs, {customer, class: String(priority)});
		if (outcome !== 'completed') {
			for (const part of run.parts.values()) {
				placements.stop(run, part, `job-${outcome}`);
			}
		}
	};

	const recordUnitEnd = (run: JobRun, part: Part, end: EndedUnit & Readonly<{workerId: string}>, name: UnitName) => {
		const placement = part.placements.find(
			({workerId, index, run: placed}) => workerId === end.workerId && index === name.index && placed === end.run,
		);
		const isLocal = isDataLocal(state, run, part);
		const ranMs = placement && Math.round(now() - placement.startedMs);
		const effect = recordEnd(run, part, {...end, index: name.index}, Date.now());
		log.info('unit-ended', {
			unit: end.unit,
			run: end.run,
			how: end.how,
			worker: end.workerId,
			effect,
			failures: part.failures,
			ranMs,
		});
		if (end.how === 'failed' && effect === 'counted') {
			recordFailure(state, end.workerId, run.job.id, now());
		} else if (end.how === 'done') {
			recordSuccess(state, end.workerId);
			const isTypical = placement?.isFullRun && isLocal && !isSlow(state, end.workerId, now());
			if (effect === 'counted' && isTypical && ranMs !== undefined) {
				state.runTimes.observe(run.job.queue, stepOf(run, part).estimateMs, ranMs);
				run.stepTimes.set(part.step, ranMs);
			}
		}
	};

	return {
		finishJob,
		handle(link, end) {
			const name = parseUnitName(end.unit);
			const run = name && state.runs.get(name.jobId);
			const part = run && partOf(run, name.occurrence, name.step, name.index);
			if (!name || !run || !part) {
				return undefined;
			}

			const hadOutcome = run.outcome !== undefined;
			recordUnitEnd(run, part, {...end, workerId: link.worker.id}, name);
			if (part.placements.length === 0) {
				part.waitingSinceMs = undefined;
			} else if (end.how !== 'done') {
				// A gang makes no progress without all of its members.
				placements.stop(run, part, 'gang-broken');
			}

			if (run.outcome !== undefined && !hadOutcome) {
				finishJob(run);
			}

			return run;
		},
	};
};
