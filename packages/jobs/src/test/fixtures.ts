import type {Job, Step, Submission} from '../types.js';

/** A step of one unit with one accelerator, with changes. */
export const newStep = (change: Partial<Step> = {}): Step => ({
	count: 1,
	cpuMillis: 1000,
	memoryMb: 100,
	accelerators: 1,
	estimateMs: 1000,
	after: [],
	gang: false,
	sameRack: false,
	requiredLabel: undefined,
	dataRack: undefined,
	maxPerWorker: 0,
	checkpoints: false,
	copies: false,
	longRunning: false,
	usesLeftover: false,
	maxAbsent: undefined,
	image: '',
	tailTargetMs: undefined,
	...change,
});

export const newSubmission = (id: number, steps: readonly Step[] = [newStep()]): Submission => ({
	id: id.toString(16).padStart(16, '0'),
	spec: 'spec',
	steps,
	schedule: undefined,
});

/** An accepted job of one unit, with changes. */
export const newJob = (change: Partial<Job> = {}): Job => ({
	...newSubmission(1),
	queue: 'ranking',
	service: 'matching',
	priority: 1,
	attempts: 2,
	stretch: 3,
	targetLatencyMs: 1000,
	advice: undefined,
	customer: 'acme',
	acceptedMs: 0,
	...change,
});
