import {longestChainMs, objectiveMs} from '@bergamotgauge/jobs';
import {OBJECTIVE_EXPIRY_FACTOR} from '../constants.js';
import {DEMAND_MAX_AGE_MS, VALUE_RETRY_MAX_MS, VALUE_RETRY_MIN_MS, WAIT_ERROR_FACTOR} from './constants.js';
import {leastWaitMs} from './demand.js';
import type {AdmissionCheck} from './types.js';

const clamp = (value: number, min: number, max: number): number => Math.min(max, Math.max(min, value));

/**
Answers a burst that its workers cannot do in time: a job that would complete only when it has no value any more is refused at once, so that its caller can go elsewhere, and takes no room from jobs that still make their objectives. In doubt a job is accepted: while the demand is not known or old, for jobs within a guarantee, for scheduled and long-running work, and unless the wait is certain by a factor.
*/
export const checkValue: AdmissionCheck = ({job, backlog, backlogAgeMs, isGuaranteed, random}) => {
	const demand = backlog?.demand[job.service];
	const hasOtherTerms =
		job.schedule !== undefined || job.steps.some(({longRunning, usesLeftover}) => longRunning || usesLeftover);
	if (!demand || backlogAgeMs > DEMAND_MAX_AGE_MS || isGuaranteed || hasOtherTerms) {
		return undefined;
	}

	const objective = objectiveMs(job);
	const waitMs = leastWaitMs(demand, {...job, objectiveMs: objective}) - backlogAgeMs;
	const longestWaitMs = OBJECTIVE_EXPIRY_FACTOR * objective - longestChainMs(job.steps);
	if (waitMs <= WAIT_ERROR_FACTOR * Math.max(0, longestWaitMs)) {
		return undefined;
	}

	return {
		reason: 'value',
		message: `the job would wait for ${Math.round(waitMs / 1000)} s and lose its value after ${Math.round(longestWaitMs / 1000)} s`,
		code: 'overloaded',
		// The wait shrinks as the work ahead is done; callers that were refused together return spread over as long again.
		retryAfterMs: clamp((waitMs - longestWaitMs) * (1 + random), VALUE_RETRY_MIN_MS, VALUE_RETRY_MAX_MS),
	};
};
