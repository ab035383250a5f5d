import t from 'tap';
import type {Bundle, JobRecord, Rack} from '@bergamotgauge/model';
import {planPass} from './index.js';

const rack: Rack = {
	name: 'r1',
	pool: 'p',
	availabilityZone: 'a',
	workers: [0, 1].map((position) => ({
		name: `w${position}`,
		rack: 'r1',
		position,
		address: 'http://127.0.0.1:1',
		availabilityZone: 'a',
		cores: 100,
		memoryGigabytes: 100,
		accelerators: 8,
		guards: true,
		labels: {},
	})),
};

const bundle: Bundle = {
	generation: 1,
	customers: [
		{
			name: 'c',
			partner: 'p',
			weight: 1,
			labels: {},
			quota: {accelerators: 16, queuedJobs: 10, concurrentRequests: 10, queuedRequests: 10},
		},
	],
	guarantees: [],
	jobClasses: [
		{
			name: 'batch',
			urgency: 'batch',
			preemptible: true,
			checkpointSeconds: 1,
			retryRule: 'idempotent',
			defaultDeadlineSeconds: 60,
			maxAttempts: 3,
		},
	],
	pools: [],
	placementRules: [],
	racks: [rack],
	services: [],
	tokens: [],
};

const job = (id: string, accelerators: number): JobRecord => ({
	id,
	customer: 'c',
	jobClass: 'batch',
	labels: {},
	accelerators,
	coresPerAccelerator: 1,
	memoryGigabytesPerAccelerator: 1,
	declaredSeconds: 10,
	workerSelector: {},
	payload: {},
	submittedAtMs: 0,
	attempt: 1,
	failedOn: [],
	cancelRequested: false,
	state: 'queued',
	ranSeconds: 0,
});

// Guards against a gang that gets only some of its accelerators, and against double booking in one pass.
await t.test('a gang is placed whole and a second one waits', async (t) => {
	const decisions = planPass({
		bundle,
		racks: new Map(),
		jobs: [job('j1', 16), job('j2', 1)],
		workersDown: new Set(),
		nowMs: 0,
	});
	t.match(decisions, [
		{
			kind: 'place',
			placement: {
				job: 'j1',
				blocks: [
					{worker: 'w0', first: 0, count: 8},
					{worker: 'w1', first: 0, count: 8},
				],
			},
		},
		{kind: 'wait', job: 'j2'},
	]);
});
