// One gang that the fleet can never hold, and small jobs that need the same kind of runner.
import process from 'node:process';
import {createJobIds, runnersOf, runScenario} from '../lib/scenario.js';

const withTrouble = process.env.TROUBLE !== '0';
const GIB = 1024;
const QUEUES = [
	{name: 'large', priority: 1, attempts: 2, stretch: 3, targetLatencyMs: 1000},
	{name: 'batch', priority: 2, attempts: 3, stretch: 3, targetLatencyMs: 3000},
];

const runners = runnersOf(['a', 'a', 'a', 'a', 'a', 'a', 'b', 'b']);
const jobId = createJobIds();

/** 2 jobs a second for 20 s; every second one needs a runner of kind b. */
const usual = Array.from({length: 40}, (_value, index) => ({
	id: jobId(),
	atMs: index * 500,
	queue: 'batch',
	ms: 400,
	steps: [
		{count: 2, cpu: 11_000, memMb: 16 * GIB, gpu: 1, estimateMs: 400, ...(index % 2 === 0 && {requirements: 'b'})},
	],
}));

/** Three whole runners of kind b at the same time: there are two. */
const hopeless = {
	id: jobId(),
	atMs: 4250,
	queue: 'large',
	ms: 11_000,
	note: 'hopeless',
	steps: [{count: 3, cpu: 52_000, memMb: 75 * GIB, gpu: 8, estimateMs: 11_000, gang: true, requirements: 'b'}],
};

const folder = new URL('.', import.meta.url).pathname;
process.exitCode = await runScenario({
	folder,
	queues: QUEUES,
	runners,
	jobs: withTrouble ? [...usual, hopeless] : usual,
});
