import type {SubmissionCheck} from '../types.js';
import {customerCheck} from './customer.js';
import {gangSizeCheck} from './gang-size.js';
import {jobClassCheck} from './job-class.js';
import {quotaCheck} from './quota.js';
import {shapeCheck} from './shape.js';

/** In order of their cost; the first reason found is the answer. */
export const SUBMISSION_CHECKS: readonly SubmissionCheck[] = [
	customerCheck,
	jobClassCheck,
	gangSizeCheck,
	quotaCheck,
	shapeCheck,
];
