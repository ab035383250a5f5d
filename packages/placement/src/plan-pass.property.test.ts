import fc from 'fast-check';
import t from 'tap';
import type {PlacementView} from './types.js';
import {
	applyDecision,
	release,
	testBundle,
	testCustomer,
	testGuarantee,
	testJob,
	testRacks,
	testView,
} from './test/view.js';
import {checkInvariant, planPass} from './index.js';

const SEED = 20_261_203;

const CUSTOMERS = ['a', 'b', 'c'];

const jobArbitrary = fc.record({
	customer: fc.constantFrom(...CUSTOMERS),
	jobClass: fc.constantFrom('non-preemptible', 'batch', 'urgent', 'once', 'once-saved'),
	accelerators: fc.constantFrom(1, 1, 2, 3, 4, 8, 16, 24, 32),
	declaredSeconds: fc.integer({min: 10, max: 7200}),
	coresPerAccelerator: fc.constantFrom(1, 16, 24),
});

const caseArbitrary = fc.record({
	racks: fc.integer({min: 1, max: 3}),
	workers: fc.integer({min: 2, max: 4}),
	guarantees: fc.array(
		fc.tuple(fc.constantFrom(...CUSTOMERS), fc.integer({min: 1, max: 2}), fc.constantFrom(4, 8, 16)),
		{
			maxLength: 3,
		},
	),
	quota: fc.integer({min: 8, max: 64}),
	rounds: fc.array(
		fc.record({
			jobs: fc.array(jobArbitrary, {maxLength: 12}),
			down: fc.option(fc.tuple(fc.integer({min: 0, max: 2}), fc.integer({min: 0, max: 3})), {freq: 4}),
			finished: fc.integer({min: 0, max: 4}),
			seconds: fc.integer({min: 1, max: 1200}),
		}),
		{minLength: 1, maxLength: 6},
	),
});

type Case = typeof caseArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const replay = (input: Case, check: (before: PlacementView, after: PlacementView) => void): void => {
	const guarantees = input.guarantees.map(([customer, count, accelerators], index) => ({
		...testGuarantee(customer, count, accelerators),
		name: `g${index}`,
	}));
	const bundle = testBundle({
		customers: CUSTOMERS.map((name) => testCustomer(name, name, input.quota)),
		racks: testRacks(input.racks, input.workers),
		guarantees,
	});
	let view = testView(bundle);
	for (const [round, {jobs, down, finished, seconds}] of input.rounds.entries()) {
		const submittedAtMs = view.nowMs;
		const arrived = jobs.map(({customer, jobClass, accelerators, ...changes}, index) =>
			testJob(`j${round}-${index}`, [customer, jobClass, accelerators], {...changes, submittedAtMs}),
		);
		const workersDown = new Set(down ? [`r${down[0]}w${down[1]}`] : []);
		view = {...view, workersDown, jobs: [...view.jobs, ...arrived]};
		view = release(view, ({blocks}) => blocks.some(({worker}) => workersDown.has(worker)));
		const before = view;
		for (const decision of planPass(view)) {
			view = applyDecision(view, decision);
			check(before, view);
		}

		view = release(view, ({phase}) => phase === 'evicting');
		const ended = new Set(
			[...view.racks.values()].flatMap(({placements}) => placements.map(({job}) => job)).slice(0, finished),
		);
		view = release(view, ({job}) => ended.has(job));
		view = {...view, jobs: view.jobs.filter(({id}) => !ended.has(id)), nowMs: view.nowMs + seconds * 1000};
	}
};

// Guards against a decision that, written on its own, breaks a placement invariant, books an accelerator twice or exceeds a quota.
await t.test('no decision breaks an invariant', async (t) => {
	fc.assert(
		fc.property(caseArbitrary, (input) => {
			replay(input, (_before, after) => {
				const violations = checkInvariant(after);
				if (violations.length > 0) {
					throw new Error(JSON.stringify(violations));
				}
			});
		}),
		{seed: SEED, numRuns: 300},
	);
	t.pass('300 replays kept the invariants');
});

// Guards against decisions that depend on anything but the view, so that two instances decide differently.
await t.test('equal views give equal decisions', async (t) => {
	fc.assert(
		fc.property(caseArbitrary, (input) => {
			replay(input, (before) => {
				const copy = {...before, bundle: structuredClone(before.bundle)};
				if (JSON.stringify(planPass(copy)) !== JSON.stringify(planPass(before))) {
					throw new Error('two passes over one view differ');
				}
			});
		}),
		{seed: SEED, numRuns: 40},
	);
	t.pass('40 replays were deterministic');
});

// Guards against evictions of at-most-once work without a checkpoint and of non-preemptible work.
await t.test('no eviction affects work that must not be preempted', async (t) => {
	fc.assert(
		fc.property(caseArbitrary, (input) => {
			replay(input, (_before, after) => {
				for (const {placements} of after.racks.values()) {
					const broken = placements.find(
						({phase, preemptible, jobClass}) => phase === 'evicting' && (!preemptible || jobClass === 'once'),
					);
					if (broken) {
						throw new Error(JSON.stringify(broken));
					}
				}
			});
		}),
		{seed: SEED + 1, numRuns: 200},
	);
	t.pass('200 replays evicted only preemptible work');
});
