import t from 'tap';
import {newFullWorker, newPlanPart, newPlanView, newPlanWorker} from '../test/plan-view.js';
import {plan} from './plan.js';
import type {PlanPart, PlanWorker} from './types.js';

const unit = {cpuMillis: 4000, memoryMb: 4000, accelerators: 1};

/** `index` makes `render` take 1.5 times as long. */
const slowdownOf = (kind: string, neighbour: string): number =>
	kind === 'render' && neighbour === 'index' ? Math.log(1.5) : 0;

const planWith = (workers: readonly PlanWorker[], parts: readonly PlanPart[]) =>
	plan({...newPlanView(workers, parts), slowdownOf});

const planWithout = (workers: readonly PlanWorker[], parts: readonly PlanPart[]) => plan(newPlanView(workers, parts));

const placesOf = ({starts}: ReturnType<typeof plan>) =>
	starts.map(({partId, workerIds}) => `${partId}@${workerIds.join('+')}`);

/** Half full, so that packing prefers it to an empty worker. */
const newSharedWorker = (id: string, kind: string, change: Partial<PlanWorker> = {}) =>
	newPlanWorker(id, {kinds: [kind], free: {cpuMillis: 32_000, memoryMb: 32_000, accelerators: 4}, ...change});

const render = newPlanPart('render', {kind: 'render', need: unit});
const index = newPlanPart('index', {kind: 'index', need: unit});

// Guards against work that is packed beside the work that slows it down, while another worker has room.
await t.test('work is kept apart from what it slows down and what slows it down', async (t) => {
	const workers = [newSharedWorker('beside', 'index'), newPlanWorker('empty')];
	t.same(placesOf(planWithout(workers, [render])), ['render@beside']);
	const kept = planWith(workers, [render]);
	t.same(placesOf(kept), ['render@empty']);
	t.same(kept.keptApart, [{partId: 'render', workerId: 'beside'}]);
	t.same(placesOf(planWith([newSharedWorker('beside', 'render'), newPlanWorker('empty')], [index])), ['index@empty']);
	const both = planWith([newPlanWorker('one'), newPlanWorker('two')], [render, {...index, rank: 1}]);
	t.same(placesOf(both), ['render@one', 'index@two'], 'work that is placed in the same pass counts too');
});

// Guards against more waiting under more demand than room, for the sake of keeping work apart.
await t.test('work never waits for a worker without harmful neighbours', async (t) => {
	const workers = [newSharedWorker('beside', 'index'), newFullWorker('full', [])];
	const parts = Array.from({length: 6}, (_value, number) =>
		newPlanPart(`p${number}`, {kind: 'render', need: unit, rank: number}),
	);
	t.same(placesOf(planWith(workers, parts)), placesOf(planWithout(workers, parts)));
	t.equal(planWith(workers, parts).starts.length, 4);
});

// Guards against a slow-down that outweighs the rack of the data, a slower worker or a suspicion.
await t.test('racks, speeds and suspicions count for more', async (t) => {
	const beside = newSharedWorker('beside', 'index');
	const local = {...render, dataRack: 'r1-1', waitedMs: 60_000};
	t.same(placesOf(planWith([beside, newPlanWorker('remote', {rack: 'r2-1'})], [local])), ['render@beside']);
	t.same(placesOf(planWith([beside, newPlanWorker('slow', {runFactor: 1.8})], [render])), ['render@beside']);
	t.same(placesOf(planWith([beside, newPlanWorker('suspect', {isSuspect: true})], [render])), ['render@beside']);
});
