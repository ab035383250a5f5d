import type {SubmissionCheck} from '../types.js';
import {customerCheck} from './customer.js';
import {gangSizeCheck} from './gang-size.js';
import {jobClassCheck} from './job-class.js';
import {quotaCheck} from './quota.js';
import {shapeCheck} from './shape.js';

/** Cheapest checks first; the first reason found is returned. */
export const SUBMISSION_CHECKS: readonly SubmissionCheck[] = [
	customerCheck,
	jobClassCheck,
	gangSizeCheck,
	quotaCheck,
	shapeCheck,
];
