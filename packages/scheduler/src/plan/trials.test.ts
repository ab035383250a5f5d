import t from 'tap';
import {newPlacement, newPlanPart, newPlanView, newPlanWorker} from '../test/plan-view.js';
import {TRIAL_WAIT_MS} from './constants.js';
import {plan} from './plan.js';

const NEED = {cpuMillis: 8000, memoryMb: 8000, accelerators: 1};

const newSuspect = (id: string, change: Parameters<typeof newPlanPart>[1] = {}) =>
	newPlanPart(id, {crashSuspicion: 'strong', need: NEED, ...change});

const busyWorker = (id: string, endMs: number) =>
	newPlanWorker(id, {
		free: {cpuMillis: 56_000, memoryMb: 56_000, accelerators: 7},
		placements: [newPlacement(`on-${id}`, {need: NEED, endMs})],
	});

// Guards against the loss of other work with a worker that a suspect crashes.
await t.test('a suspect runs alone on an empty worker', async (t) => {
	const workers = [busyWorker('w1', 1000), newPlanWorker('w2')];
	const {starts} = plan(
		newPlanView(workers, [newSuspect('suspect', {rank: 1}), newPlanPart('other', {need: NEED, rank: 2})]),
	);
	t.same(starts, [
		{partId: 'suspect', workerIds: ['w2']},
		{partId: 'other', workerIds: ['w1']},
	]);
});

// Guards against suspects that never find an empty worker in a busy pool: other work would go on filling all of them.
await t.test('the worker that is empty first is kept free for a suspect', async (t) => {
	const workers = [busyWorker('w1', 5000), busyWorker('w2', 1000)];
	const suspect = newSuspect('suspect', {rank: 1});
	const {starts, evictions} = plan(newPlanView(workers, [suspect, newPlanPart('other', {need: NEED, rank: 2})]));
	t.same(starts, [{partId: 'other', workerIds: ['w1']}]);
	t.same(evictions, [], 'nothing is evicted for a suspect');
	const late = plan(newPlanView(workers, [newSuspect('suspect', {waitedMs: TRIAL_WAIT_MS.strong})]));
	t.equal(late.starts.length, 1, 'in the end it runs beside other work');
});

// Guards against suspects of one customer that take all workers away from everyone else.
await t.test('only a few suspects run at a time, and fewer of one customer', async (t) => {
	const workers = Array.from({length: 32}, (_value, index) => newPlanWorker(`w${index}`));
	const suspectsOf = (customer: string) =>
		Array.from({length: 6}, (_value, index) => newSuspect(`${customer}-${index}`, {customer}));
	const one = plan(newPlanView(workers, suspectsOf('acme')));
	t.equal(one.starts.length, 3);
	const three = plan(
		newPlanView(
			workers,
			['a', 'b', 'c'].flatMap((name) => suspectsOf(name)),
		),
	);
	t.equal(three.starts.length, 6);
});

// Guards against innocent suspects that wait for each other's trials: in a small pool some waited for a minute.
await t.test('a weak suspect soon runs beside other work, but not beside another suspect', async (t) => {
	const workers = [
		busyWorker('w1', 1000),
		newPlanWorker('w2', {
			free: {cpuMillis: 56_000, memoryMb: 56_000, accelerators: 7},
			placements: [newPlacement('on-w2', {need: NEED})],
			hasCrashSuspect: true,
		}),
	];
	const newWeak = (id: string, waitedMs: number) => newSuspect(id, {crashSuspicion: 'weak', waitedMs});
	t.same(plan(newPlanView(workers, [newWeak('a', 0)])).starts, []);
	const {starts} = plan(newPlanView(workers, [newWeak('a', TRIAL_WAIT_MS.weak), newWeak('b', TRIAL_WAIT_MS.weak)]));
	t.same(starts, [{partId: 'a', workerIds: ['w1']}]);
});
