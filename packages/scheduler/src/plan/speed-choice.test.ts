import t from 'tap';
import {newFullWorker, newPlacement, newPlanPart, newPlanView, newPlanWorker} from '../test/plan-view.js';
import {plan} from './plan.js';
import {maxRunFactorOf} from './speed-choice.js';
import type {PlanPart, PlanWorker} from './types.js';

const SLOW = 1.82;
const FAST = 0.83;

const startsOf = (workers: readonly PlanWorker[], parts: readonly PlanPart[]) =>
	plan(newPlanView(workers, parts)).starts.map(({partId, workerIds}) => `${partId}@${workerIds.join('+')}`);

const unit = {cpuMillis: 4000, memoryMb: 4000, accelerators: 1};

// Guards against urgent jobs that are late because one unit runs on a worker that is slower for good.
await t.test('urgent work takes fast workers, work with time to spare the slow ones', async (t) => {
	const workers = [newPlanWorker('slow', {runFactor: SLOW}), newPlanWorker('fast', {runFactor: FAST})];
	const urgent = newPlanPart('urgent', {need: unit, maxRunFactor: 1.5});
	const spare = newPlanPart('spare', {need: unit, priority: 2, maxRunFactor: 3, rank: 1});
	t.same(startsOf(workers, [urgent, spare]), ['urgent@fast', 'spare@slow']);
	const tight = newPlanPart('tight', {need: unit, priority: 2, maxRunFactor: 1.2});
	t.same(startsOf(workers, [tight]), ['tight@fast']);
});

// Guards against a gang that mixes fast and slow workers: the fast ones would wait for the slowest.
await t.test('the members of a gang run on equally fast workers where there is room', async (t) => {
	const workers = ['a', 'b', 'c', 'd'].map((id, index) =>
		newPlanWorker(id, {runFactor: index % 2 === 0 ? SLOW : FAST}),
	);
	const gang = newPlanPart('gang', {members: 2, priority: 1, maxRunFactor: 3});
	t.same(startsOf(workers, [gang]), ['gang@b+d']);
});

// Guards against urgent work that is started where it is late for sure, or that is kept waiting beside free workers.
await t.test('an urgent unit waits a short time for a worker on which it is not late', async (t) => {
	const workers = [
		newPlanWorker('slow', {runFactor: SLOW}),
		newFullWorker('fast', [newPlacement('other', {priority: 0, endMs: 400})], {runFactor: FAST}),
	];
	const urgent = newPlanPart('urgent', {maxRunFactor: 1.5});
	t.same(startsOf(workers, [urgent]), []);
	t.same(startsOf(workers, [{...urgent, waitedMs: 300}]), []);
	t.same(startsOf(workers, [{...urgent, waitedMs: 300, isGuaranteed: true}]), ['urgent@slow']);
	t.same(startsOf(workers, [{...urgent, waitedMs: 500}]), ['urgent@slow']);
	t.same(startsOf(workers, [{...urgent, maxRunFactor: maxRunFactorOf(2500, -1)}]), ['urgent@slow'], 'late anywhere');
	t.same(startsOf(workers, [{...urgent, maxRunFactor: 1.9}]), ['urgent@slow'], 'not late there');
});

// Guards against work that is stopped on a fast worker although the urgent unit has room on a slow one: with such stops,
// a day had a third more of them and no more urgent jobs in time.
await t.test('a wait for a faster worker evicts nothing', async (t) => {
	const newWorkers = (lostWorkCoreMs: number) => [
		newPlanWorker('slow', {runFactor: SLOW}),
		newFullWorker('fast', [newPlacement('other', {lostWorkCoreMs})], {runFactor: FAST}),
	];
	const urgent = newPlanPart('urgent', {maxRunFactor: 1.5, workCoreMs: 100_000});
	t.same(plan(newPlanView(newWorkers(90_000), [urgent])).evictions, []);
	t.same(plan(newPlanView(newWorkers(1000), [urgent])).evictions, []);
	const full = newFullWorker('slow', [newPlacement('guaranteed', {priority: 0})], {runFactor: SLOW});
	const [, fast] = newWorkers(1000);
	t.same(plan(newPlanView([full, fast!], [urgent])).evictions, [{partId: 'other', forPartId: 'urgent'}]);
});

// Guards against work that was stopped in vain: the time to the objective shrinks while the stops go on, so that a worker
// on which work was evicted for a part becomes too slow for it.
await t.test(
	'a part keeps the workers on which work was evicted for it, also when they have become too slow',
	async (t) => {
		const urgent = newPlanPart('urgent', {maxRunFactor: 1.5, waitedMs: 100});
		const stopping = newFullWorker('slow', [newPlacement('other', {isStopping: true})], {runFactor: SLOW});
		const held = new Map([['urgent', {workerIds: ['slow'], evictions: 1, lostWorkCoreMs: 1000}]]);
		const waiting = plan({...newPlanView([stopping], [urgent]), held});
		t.same(waiting.released, []);
		t.same(waiting.held.get('urgent')?.workerIds, ['slow']);
		const free = newPlanWorker('slow', {runFactor: SLOW});
		t.same(plan({...newPlanView([free], [urgent]), held}).starts, [{partId: 'urgent', workerIds: ['slow']}]);
	},
);
