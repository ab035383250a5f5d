import t from 'tap';
import {pendingAdviceRequests} from './advice-requests.js';
import {newFullWorker, newPlacement, newPlanPart, newPlanView, newPlanWorker} from './test/plan-view.js';
import {plan} from './plan/plan.js';

const TERMS = {decideMs: 20, eachMs: 1, validMs: 3000};

const requestsFor = (...view: Parameters<typeof newPlanView>) =>
	pendingAdviceRequests(newPlanView(...view), () => TERMS);

// Guards against starts on workers that the advice service has not approved.
await t.test('a part starts only on a worker that is allowed', async (t) => {
	const workers = [newPlanWorker('w0'), newPlanWorker('w1')];
	const start = (allowed: readonly string[]) =>
		plan(newPlanView(workers, [newPlanPart('a', {allowedWorkers: new Set(allowed)})])).starts;
	t.same(start([]), []);
	t.same(start(['w1']), [{partId: 'a', workerIds: ['w1']}]);
});

// Guards against requests about workers without free capacity in a full pool, which only cost time.
await t.test('workers with free capacity are asked about first', async (t) => {
	const workers = [newFullWorker('full', [newPlacement('p')]), newPlanWorker('free')];
	const [request] = requestsFor(workers, [newPlanPart('a', {allowedWorkers: new Set()})]);
	t.same(request?.workerIds, ['free', 'full']);
});

await t.test(
	'no request is needed while approved workers have free capacity, or for parts that need no approval',
	async (t) => {
		const workers = [newPlanWorker('w0'), newPlanWorker('w1')];
		t.same(requestsFor(workers, [newPlanPart('a', {allowedWorkers: new Set(['w1'])})]), []);
		t.same(requestsFor(workers, [newPlanPart('a')]), []);
		t.equal(requestsFor(workers, [newPlanPart('a', {members: 2, allowedWorkers: new Set(['w1'])})]).length, 1);
	},
);

await t.test('steps are asked about by rank', async (t) => {
	const parts = [
		newPlanPart('later', {rank: 2, allowedWorkers: new Set()}),
		newPlanPart('first', {rank: 1, allowedWorkers: new Set()}),
	];
	t.same(
		requestsFor([newPlanWorker('w0')], parts).map(({stepId}) => stepId),
		['first', 'later'],
	);
});
