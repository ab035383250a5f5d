import t from 'tap';
import type {Job, Step} from './types.js';
import {
	checkSubmission,
	decodeJob,
	encodeJob,
	formatUnitName,
	longestChainMs,
	objectiveMs,
	parseUnitName,
} from './index.js';

const step = (change: Partial<Step> = {}): Step => ({
	count: 1,
	cpuMillis: 1000,
	memoryMb: 100,
	accelerators: 0,
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
	maxAbsent: 0,
	...change,
});

const submission = (change: Partial<Parameters<typeof checkSubmission>[0]> = {}) => ({
	id: '5c0e7a21d94b36f8',
	spec: '',
	steps: [step()],
	schedule: undefined,
	...change,
});

await t.test('unit names', async (t) => {
	const name = {jobId: '5c0e7a21d94b36f8', occurrence: 2, step: 1, index: 17};
	t.equal(formatUnitName(name), '5c0e7a21d94b36f8.2.1.17');
	t.same(parseUnitName(formatUnitName(name)), name);
	for (const text of ['', 'a.b.c.d', '1.2.3', 'x.0.0.0.0', 'x.0.-1.0']) {
		t.equal(parseUnitName(text), undefined, `"${text}" names no unit`);
	}
});

// Guards against malformed jobs that are accepted and can never end.
await t.test('malformed submissions are refused with the fault', async (t) => {
	const cases = [
		['id', {id: 'short'}],
		['bytes', {spec: 'x'.repeat(4001)}],
		['steps', {steps: []}],
		['units', {steps: [step({count: 6000})]}],
		['not an earlier step', {steps: [step({after: [0]})]}],
		['not an earlier step', {steps: [step(), step({after: [2]}), step()]}],
	] as const;
	for (const [text, change] of cases) {
		t.throws(
			() => {
				checkSubmission(submission(change));
			},
			{code: 'bad-request', verdict: 'not-run', message: new RegExp(text, 'v')},
			text,
		);
	}

	checkSubmission(submission());
});

await t.test('the objective follows the longest chain', async (t) => {
	const steps = [step({estimateMs: 500}), step({estimateMs: 3000}), step({estimateMs: 700, after: [0, 1]})];
	t.equal(longestChainMs(steps), 3700);
	const job: Job = {
		...submission({steps}),
		queue: 'q',
		service: 's',
		priority: 0,
		attempts: 1,
		stretch: 1.5,
		targetLatencyMs: 250,
		customer: 'acme',
		acceptedMs: 0,
	};
	t.equal(objectiveMs(job), 5800);
	t.same(decodeJob(encodeJob(job)), job);
});
