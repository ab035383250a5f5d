import t from 'tap';
import type {Bundle, JobRecord} from '@bergamotgauge/model';
import type {Decision, PlacementView} from './types.js';
import {applyAll, release, testBundle, testCustomer, testGuarantee, testJob, testRacks, testView} from './test/view.js';
import {checkSubmission, createArrivalPlanner, explainJob, planPass} from './index.js';

const placed = (bundle: Bundle, jobs: readonly JobRecord[], nowMs = 0): PlacementView => {
	const view = {...testView(bundle, jobs), nowMs};
	return applyAll(view, planPass(view));
};

const evictedJobs = (decisions: readonly Decision[]): string[] =>
	decisions.flatMap((decision) => (decision.kind === 'evict' ? [decision.job] : [])).toSorted();

const placedJobs = (decisions: readonly Decision[]): string[] =>
	decisions.flatMap((decision) => (decision.kind === 'place' ? [decision.placement.job] : [])).toSorted();

const arrive = (view: PlacementView, nowMs: number, ...jobs: readonly JobRecord[]): PlacementView => ({
	...view,
	nowMs,
	jobs: [...view.jobs, ...jobs],
});

const guaranteed = testBundle({guarantees: [testGuarantee('a', 1, 8)]});

// Guards against an owner that has to wait for borrowers, and against evictions of more work, or costlier work, than needed.
await t.test('the owner reclaims its reserved block from borrowers', async (t) => {
	const borrowers = ['x', 'y'].map((id) => testJob(id, ['b', 'batch', 8]));
	const view = arrive(
		placed(guaranteed, borrowers),
		60_000,
		testJob('j', ['a', 'non-preemptible', 8], {submittedAtMs: 60_000}),
	);
	const decisions = planPass(view);
	t.equal(evictedJobs(decisions).length, 1);
	const [evict] = decisions;
	t.match(evict, {kind: 'evict', graceMs: 10_000});
	const evicting = applyAll(view, decisions);
	t.same(evictedJobs(planPass(evicting)), [], 'a second pass evicts nothing more');
	t.same(placedJobs(planPass(evicting)), [], 'no job is placed before the accelerators are free');
	const free = release(evicting, ({phase}) => phase === 'evicting');
	t.match(planPass(free), [{kind: 'place', placement: {job: 'j', guarantee: 'a-8'}}, {kind: 'wait'}]);
});

// Guards against losing a long run where a run that started later could be evicted.
await t.test('the job with the fewest lost accelerator-seconds is evicted first', async (t) => {
	const noCheckpoint = testBundle({
		jobClasses: testBundle({}).jobClasses.map((entry) => ({...entry, checkpointSeconds: 0})),
	});
	const old = placed(noCheckpoint, [testJob('old', ['b', 'batch', 8])]);
	const both = arrive(old, 50_000, testJob('young', ['b', 'batch', 8]));
	const view = arrive(applyAll(both, planPass(both)), 60_000, testJob('u', ['a', 'urgent', 1]));
	t.same(evictedJobs(planPass(view)), ['young']);
});

// Guards against a reserved block that its owner can't reclaim.
await t.test('non-preemptible work stays out of blocks reserved for other customers', async (t) => {
	const view = placed(guaranteed, [
		testJob('x', ['b', 'non-preemptible', 8]),
		testJob('y', ['b', 'non-preemptible', 8]),
	]);
	const decisions = planPass(view);
	t.match(decisions, [{kind: 'wait', job: 'y', reason: /no rack has 8/v}]);
	const all = testBundle({guarantees: [testGuarantee('a', 2, 8)]});
	t.match(planPass(placed(all, [testJob('x', ['b', 'non-preemptible', 8])])), [
		{kind: 'wait', reason: /blocks reserved for other customers/v},
	]);
});

// Guards against evictions that lose at-most-once work, also by urgent work and by the owner of the block.
await t.test('at-most-once work is evicted only by a checkpoint', async (t) => {
	const once = placed(testBundle({}), [testJob('x', ['b', 'once', 8]), testJob('y', ['b', 'once', 8])]);
	t.same(evictedJobs(planPass(arrive(once, 1000, testJob('u', ['a', 'urgent', 1])))), []);
	const saved = placed(testBundle({}), [testJob('x', ['b', 'once-saved', 8]), testJob('y', ['b', 'once-saved', 8])]);
	t.same(
		evictedJobs(planPass(arrive(saved, 1000, testJob('u', ['a', 'urgent', 1])))),
		[],
		'its checkpoint is too long',
	);
	const owned = placed(guaranteed, [testJob('x', ['b', 'once-saved', 8]), testJob('y', ['b', 'once-saved', 8])]);
	t.equal(evictedJobs(planPass(arrive(owned, 1000, testJob('j', ['a', 'non-preemptible', 8])))).length, 1);
});

// Guards against urgent work that waits for work on borrowed accelerators or for its checkpoints.
await t.test('urgent work evicts work on borrowed accelerators within its time limit', async (t) => {
	const view = placed(testBundle({}), [testJob('x', ['b', 'batch', 16])]);
	t.match(planPass(arrive(view, 5000, testJob('u', ['a', 'urgent', 2]))), [
		{kind: 'evict', job: 'x', graceMs: 0},
		{kind: 'wait', job: 'u'},
	]);
});

// Guards against urgent work of an owner that waits for the checkpoints of its borrowers.
await t.test('urgent work of an owner uses the urgent grace period too', async (t) => {
	const view = placed(guaranteed, [testJob('x', ['b', 'batch', 8]), testJob('y', ['b', 'batch', 8])]);
	t.match(planPass(arrive(view, 5000, testJob('u', ['a', 'urgent', 1]))), [
		{kind: 'evict', graceMs: 0},
		{kind: 'wait'},
	]);
});

// Guards against long runs without a checkpoint in reserved blocks; they would be lost when the owner reclaims the block.
await t.test('long work without a checkpoint does not borrow reserved blocks', async (t) => {
	const jobClasses = testBundle({}).jobClasses.map((entry) => ({...entry, checkpointSeconds: 0}));
	const bundle = testBundle({jobClasses, guarantees: [testGuarantee('a', 2, 8)]});
	const jobs = [601, 600].map((declaredSeconds) =>
		testJob(`j${declaredSeconds}`, ['b', 'batch', 8], {declaredSeconds}),
	);
	t.same(placedJobs(planPass(testView(bundle, jobs))), ['j600']);
});

// Guards against urgent work that waits for a checkpoint which an earlier eviction started, and against evicting twice for it.
await t.test('urgent work does not wait for long checkpoints in progress', async (t) => {
	const full = placed(testBundle({}), [testJob('x', ['b', 'batch', 8]), testJob('y', ['b', 'batch', 8])]);
	const slow = applyAll(full, [{kind: 'evict', rack: 'r0', job: 'x', graceMs: 10_000, reason: 'test'}]);
	const first = planPass(arrive(slow, 10, testJob('u', ['a', 'urgent', 1])));
	t.same(evictedJobs(first), ['y']);
	t.same(evictedJobs(planPass(applyAll(arrive(slow, 10, testJob('u', ['a', 'urgent', 1])), first))), []);
});

// Guards against a partner that keeps more of the pool than declared, and against evictions for work above its partner's share.
await t.test('partners hold their declared shares', async (t) => {
	const shares = [
		{partner: 'a', share: 0.5},
		{partner: 'b', share: 0.5},
	];
	const pools = [{name: 'pool', weights: {completionTime: 0.5, fragmentation: 0.5}, shares}];
	const bundle = testBundle({pools});
	const nonPreemptible = placed(bundle, [
		testJob('x', ['a', 'non-preemptible', 8]),
		testJob('y', ['a', 'non-preemptible', 8]),
	]);
	t.match(planPass(nonPreemptible), [{kind: 'wait', job: 'y', reason: /share of partner a is in use/v}]);
	const full = placed(bundle, [testJob('x', ['a', 'batch', 8]), testJob('y', ['a', 'batch', 8])]);
	t.equal(evictedJobs(planPass(arrive(full, 1000, testJob('j', ['b', 'non-preemptible', 8])))).length, 1);
	t.same(
		evictedJobs(planPass(arrive(full, 1000, testJob('j', ['b', 'non-preemptible', 16])))),
		[],
		'the job exceeds the share',
	);
});

// Guards against starvation of a large gang by small jobs, and against reserved accelerators that stay idle before its start.
await t.test('a reservation is backfilled only by work that ends in time', async (t) => {
	const runTimes = new Map([
		['a/non-preemptible', Array.from({length: 20}, () => 1)],
		['b/non-preemptible', Array.from({length: 20}, () => 1)],
	]);
	const running = placed(testBundle({}), [testJob('x', ['a', 'non-preemptible', 8], {declaredSeconds: 1000})]);
	const waiting = [
		testJob('gang', ['a', 'non-preemptible', 16], {submittedAtMs: -10_000_000}),
		testJob('short', ['b', 'non-preemptible', 4], {declaredSeconds: 500}),
		testJob('long', ['b', 'non-preemptible', 4], {declaredSeconds: 5000}),
	];
	const view = {...arrive(running, 0, ...waiting), runTimes};
	t.same(placedJobs(planPass(view)), ['short']);
	const late = {...view, runTimes: new Map([...runTimes, ['b/non-preemptible', Array.from({length: 20}, () => 4)]])};
	t.same(placedJobs(planPass(late)), [], 'observed run times exclude the job that declares too little');
});

// Guards against an unbounded delay of a gang by work that overran its estimate.
await t.test('a long wait evicts work that can checkpoint', async (t) => {
	const view = placed(testBundle({}), [testJob('x', ['b', 'batch', 8], {declaredSeconds: 86_400})]);
	const gang = testJob('gang', ['a', 'non-preemptible', 16], {submittedAtMs: 1000, declaredSeconds: 7200});
	t.same(evictedJobs(planPass(arrive(view, 300_000, gang))), []);
	t.same(evictedJobs(planPass(arrive(view, 1_000_000, gang))), ['x']);
});

// Guards against a customer that exceeds its quota through several jobs placed in one pass.
await t.test('quotas hold within one pass, and fair share orders equal jobs', async (t) => {
	const customers = [testCustomer('a', 'a', 10), testCustomer('b', 'b', 16)];
	const jobs = ['x', 'y', 'z'].map((id) => testJob(id, ['a', 'non-preemptible', 4]));
	t.same(placedJobs(planPass(testView(testBundle({customers}), jobs))), ['x', 'y']);
	const held = placed(testBundle({}), [testJob('x', ['a', 'non-preemptible', 8])]);
	const next = [testJob('y', ['a', 'non-preemptible', 8]), testJob('z', ['b', 'non-preemptible', 8])];
	t.same(placedJobs(planPass(arrive(held, 1, ...next))), ['z'], 'the customer that uses less goes first');
});

// Guards against endless retries, and against a verdict that says a job has not run when it may have.
await t.test('jobs end when they are faulty, at most once, or cancelled', async (t) => {
	const failed = {failedOn: ['r0w0', 'r0w1', 'gone']};
	for (const [job, outcome] of [
		[
			testJob('j', ['a', 'non-preemptible', 1], failed),
			{kind: 'failed', verdict: 'ran', reason: /failed on 3 workers/v},
		],
		[testJob('j', ['a', 'once', 1], {failedOn: ['gone']}), {kind: 'failed', verdict: 'may-have-run'}],
		[testJob('j', ['a', 'non-preemptible', 1], {cancelRequested: true}), {kind: 'cancelled', verdict: 'not-run'}],
	] as const) {
		t.match(planPass(testView(testBundle({}), [job])), [{kind: 'end', job: 'j', outcome}]);
	}
});

// Guards against fragmentation: small jobs that are spread over workers leave no free block for a guaranteed shape.
await t.test('packing keeps blocks of the largest guaranteed shape free', async (t) => {
	const bundle = testBundle({racks: testRacks(2, 4), guarantees: [testGuarantee('a', 1, 16)]});
	const jobs = Array.from({length: 8}, (_, index) => testJob(`j${index}`, ['b', 'batch', 2]));
	const workers = new Set(
		planPass(testView(bundle, jobs)).flatMap((decision) =>
			decision.kind === 'place' ? decision.placement.blocks.map(({worker}) => worker) : [],
		),
	);
	t.equal(workers.size, 2);
});

// Guards against a pool that stays fragmented, and against moves that cost more than they gain.
await t.test('jobs move by checkpoint when that frees a block', async (t) => {
	const bundle = testBundle({racks: testRacks(1, 4), guarantees: [testGuarantee('a', 1, 16)]});
	const jobs = ['x', 'y'].map((id) => testJob(id, ['b', 'batch', 1], {declaredSeconds: 7200}));
	const [reservedBlocks, first, second] = planPass(testView(bundle, jobs));
	const spread = applyAll(testView(bundle, jobs), [reservedBlocks!, first!, second!]);
	const record = spread.racks.get('r0')!;
	const placements = record.placements.map((placement, index) => ({
		...placement,
		blocks: [{worker: `r0w${index * 2}`, first: 0, count: 1}],
	}));
	const at = (nowMs: number) => planPass({...spread, nowMs, racks: new Map([['r0', {...record, placements}]])});
	t.equal(evictedJobs(at(600_000)).length, 1);
	t.same(evictedJobs(at(7_180_000)), [], 'the jobs end soon, so the gain of 160 is below 20 times the cost of 10');
});

// Guards against a task whose cores or memory its worker does not have.
await t.test('cores and memory of a worker are not exceeded', async (t) => {
	const jobs = ['x', 'y', 'z'].map((id) => testJob(id, ['a', 'non-preemptible', 1], {coresPerAccelerator: 100}));
	t.same(placedJobs(planPass(testView(testBundle({}), jobs))), ['x', 'y']);
});

// Guards against new jobs that take accelerators reserved for earlier jobs, or that are placed twice on the same accelerators.
await t.test('single arrivals respect the queue and each other', async (t) => {
	const waiting = testJob('gang', ['a', 'non-preemptible', 16], {submittedAtMs: -10_000_000});
	const running = placed(testBundle({}), [testJob('x', ['a', 'non-preemptible', 8], {declaredSeconds: 1000})]);
	const planArrival = createArrivalPlanner(arrive(running, 0, waiting));
	t.match(planArrival(testJob('long', ['b', 'non-preemptible', 4], {declaredSeconds: 5000})), [
		{kind: 'wait', job: 'long'},
	]);
	const open = createArrivalPlanner(running);
	const blocks = ['y', 'z'].flatMap((id) => placedJobs(open(testJob(id, ['b', 'non-preemptible', 8]))));
	t.same(blocks, ['y'], 'the second one finds no free accelerators');
});

// Guards against an explanation that contradicts the decision of the pass.
await t.test('explain gives the placement, the reason and the obstacles', async (t) => {
	const view = placed(testBundle({}), [
		testJob('x', ['b', 'non-preemptible', 16]),
		testJob('y', ['a', 'non-preemptible', 8]),
	]);
	t.match(explainJob(view, 'x'), {state: 'running', rack: 'r0', obstacles: []});
	t.match(explainJob(view, 'y'), {
		state: 'waiting',
		reason: /no rack has 8 adjacent accelerators free now; reserved in rack r0/v,
		obstacles: [{job: 'x', customer: 'b', preemptible: false}],
	});
	const down = {
		...testView(testBundle({}), [testJob('z', ['a', 'non-preemptible', 1])]),
		workersDown: new Set(['r0w0', 'r0w1']),
	};
	t.match(explainJob(down, 'z').reason, /down, quarantined or failed it before/v);
	t.match(explainJob(view, 'none'), {state: 'unknown'});
});

// Guards against accepted jobs that can never run.
await t.test('impossible jobs are refused with the reason', async (t) => {
	const bundle = testBundle({customers: [testCustomer('a', 'a', 32)]});
	for (const [accelerators, changes, reason] of [
		[33, {}, /quota/v],
		[24, {}, /no rack has 24/v],
		[1, {workerSelector: {matchLabels: {none: 'x'}}}, /no declared worker/v],
		[0, {}, /whole number/v],
	] as const) {
		t.throws(() => {
			checkSubmission(bundle, 'a', testJob('j', ['a', 'non-preemptible', accelerators], changes));
		}, reason);
	}
});
