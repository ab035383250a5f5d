import t from 'tap';
import {
	applyAll,
	applyDecision,
	testBundle,
	testClasses,
	testCustomer,
	testGuarantee,
	testJob,
	testRacks,
	testView,
} from './test/view.js';
import {checkGuarantees, checkInvariant, explainJob, planReservedBlocks, planPass} from './index.js';

const bundle = testBundle({racks: testRacks(2, 2), guarantees: [testGuarantee('a', 1, 16)]});

// Guards against placements in reserved blocks that have not been written yet.
await t.test('reserved blocks are written before placements', async (t) => {
	const view = testView(bundle, [testJob('j', ['a', 'non-preemptible', 16])]);
	t.match(planPass(view), [
		{kind: 'homes', rack: 'r0', homes: [{guarantee: 'a-16', index: 0}]},
		{kind: 'place', rack: 'r0', placement: {job: 'j', guarantee: 'a-16', homeIndex: 0}},
	]);
});

// Guards against a guarantee that has no reserved block while it moves, and against an old block that is never removed.
await t.test('a reserved block moves by writing the new one first', async (t) => {
	let view = applyAll(testView(bundle), planPass(testView(bundle)));
	view = {...view, workersDown: new Set(['r0w1'])};
	const first = planPass(view);
	t.match(first, [{kind: 'homes', rack: 'r1', homes: [{guarantee: 'a-16', index: 0}]}]);
	t.equal(first.length, 1, 'the old block stays in this pass');
	view = applyAll(view, first);
	t.match(planPass(view), [{kind: 'homes', rack: 'r0', homes: []}]);
	view = applyAll(view, planPass(view));
	t.same(planPass({...view, workersDown: new Set()}), [], 'the new block stays when the worker returns');
});

// Guards against a guarantee that can't be met without any report of it.
await t.test('a shortfall is reported with its guarantee', async (t) => {
	const planned = applyAll(testView(bundle), planPass(testView(bundle)));
	const view = {
		...planned,
		workersDown: new Set(['r0w0', 'r1w1']),
		jobs: [testJob('j', ['a', 'non-preemptible', 16])],
	};
	t.match(planReservedBlocks(view).shortfalls, [{guarantee: 'a-16', index: 0, customer: 'a'}]);
	t.match(explainJob(view, 'j').reason, /guarantee a-16 has no reserved block for shape 1/v);
	t.same(planReservedBlocks(view).decisions, [], 'the reserved block stays until its workers return');
});

// Guards against a reserved block on accelerators that its owner can't reclaim.
await t.test('a new reserved block avoids non-preemptible work', async (t) => {
	const open = testBundle({racks: testRacks(2, 2)});
	let view = testView(open, [
		testJob('non-preemptible', ['b', 'non-preemptible', 1]),
		testJob('batch', ['b', 'batch', 16]),
	]);
	view = applyAll(view, planPass(view));
	const blockedRack = [...view.racks.values()].find(({placements}) =>
		placements.some(({job}) => job === 'non-preemptible'),
	)!.rack;
	const withGuarantee = {...view, bundle};
	const [decision] = planPass(withGuarantee);
	t.match(decision, {kind: 'homes', rack: blockedRack === 'r0' ? 'r1' : 'r0'});
	t.same(checkInvariant(applyDecision(withGuarantee, decision!)), []);
});

// Guards against a set of guarantees that can't all be met at the same time.
await t.test('guarantees that do not fit are refused by name', async (t) => {
	const guarantees = [testGuarantee('a', 2, 16), {...testGuarantee('b', 1, 8), name: 'late'}];
	t.throws(() => {
		checkGuarantees(testBundle({racks: testRacks(2, 2), guarantees}));
	}, /guarantee late does not fit/v);
	const selective = {...testGuarantee('b', 1, 8), name: 'z', workerSelector: {matchLabels: {worker: 'r0w0'}}};
	t.doesNotThrow(() => {
		checkGuarantees(testBundle({guarantees: [testGuarantee('a', 1, 8), selective]}));
	}, 'the shape with fewer possible runs is placed first');
});

// Guards against violations of the placement invariants or a quota that go unreported.
await t.test('checkInvariant lists each kind of violation', async (t) => {
	const small = testBundle({customers: [testCustomer('a'), testCustomer('b', 'b', 4)], guarantees: bundle.guarantees});
	const view = testView(small, [testJob('x', ['b', 'non-preemptible', 8]), testJob('y', ['b', 'non-preemptible', 8])]);
	const placement = {
		attempt: 1,
		customer: 'b',
		jobClass: testClasses[0]!.name,
		preemptible: false,
		phase: 'placed' as const,
		token: 1,
		placedAtMs: 0,
		expectedEndMs: 1,
	};
	const blocks = [{worker: 'r0w0', first: 0, count: 8}];
	const homes = [{guarantee: 'a-16', index: 0, customer: 'a', blocks}];
	const broken = {
		rack: 'r0',
		epoch: 1,
		homes: [...homes, ...homes],
		quarantines: [],
		placements: [
			{...placement, job: 'x', blocks},
			{...placement, job: 'y', blocks: [{worker: 'r0w0', first: 0, count: 4}]},
		],
	};
	const kinds = checkInvariant({...view, racks: new Map([['r0', broken]])}).map(({kind}) => kind);
	t.same(
		[...new Set(kinds)].toSorted(),
		['double-booking', 'home-occupied', 'home-overlap', 'partial-gang', 'quota'].toSorted(),
	);
});
