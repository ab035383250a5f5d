import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t from 'tap';
import {plan} from '../plan/plan.js';
import {addResources, subtractResources, sumResources} from '../plan/resources.js';
import type {PlanPart, PlanPlacement, PlanWorker} from '../plan/types.js';
import {createRecordedLog} from '../test/recorded-log.js';
import {newFullWorker, newPlacement, newPlanPart, newPlanView, newPlanWorker} from '../test/plan-view.js';
import {createReservations, type Reservations} from './reservations.js';

const ONE = {cpuMillis: 1000, memoryMb: 1000, accelerators: 1};
const WHOLE = {cpuMillis: 8000, memoryMb: 8000, accelerators: 8};
const GANG = newPlanPart('gang', {members: 4, need: WHOLE, isGuaranteed: true, workCoreMs: 1_000_000, rank: -10});

const newReservations = (): Reservations =>
	createReservations({log: createSilentLog(), metrics: createMetrics(), now: () => 0});

/** A worker whose accelerators are taken by eight small units, which take one to three passes to stop. */
const newBusyWorker = (id: string): PlanWorker =>
	newPlanWorker(id, {
		capacity: WHOLE,
		free: {cpuMillis: 0, memoryMb: 0, accelerators: 0},
		placements: Array.from({length: 8}, (_value, index) => newPlacement(`${id}.${index}`, {need: ONE})),
	});

/** Plays passes in which stops take a while and an urgent unit arrives in each one, until the gang starts. */
const playPasses = (workers: readonly PlanWorker[], reservations: Reservations | undefined) => {
	let present = workers;
	let pass = 0;
	const evictedOn: string[][] = [];
	const stoppingSince = new Map<string, number>();
	let startedOn: readonly string[] | undefined;
	while (startedOn === undefined && pass < 12) {
		const urgent = newPlanPart(`urgent${pass}`, {need: ONE, isGuaranteed: true, rank: -20});
		const parts: readonly PlanPart[] = [urgent, GANG];
		const planned = plan({...newPlanView(present, parts), held: reservations?.held() ?? new Map()});
		reservations?.update(planned);
		const victims = planned.evictions.filter(({forPartId}) => forPartId === GANG.id).map(({partId}) => partId);
		if (victims.length > 0) {
			evictedOn.push([...new Set(victims.map((id) => id.split('.')[0]!))]);
		}

		for (const {partId} of planned.evictions) {
			stoppingSince.set(partId, pass);
		}

		startedOn = planned.starts.find(({partId}) => partId === GANG.id)?.workerIds;
		const endedBy = pass;
		const isOver = ({partId}: PlanPlacement): boolean =>
			endedBy - (stoppingSince.get(partId) ?? endedBy) >= 1 + (Number(partId.split('.')[1]) % 3);
		present = present.map((worker) => {
			const added = planned.starts
				.filter(({partId, workerIds}) => partId !== GANG.id && workerIds.includes(worker.id))
				.map(({partId}) => newPlacement(partId, {need: ONE, priority: 0, isGuaranteed: true, isMovable: false}));
			const freed = sumResources(worker.placements.filter((placement) => isOver(placement)).map(({need}) => need));
			const taken = sumResources(added.map(({need}) => need));
			return {
				...worker,
				free: subtractResources(addResources(worker.free, freed), taken),
				placements: [
					...worker.placements
						.filter((placement) => !isOver(placement))
						.map((placement) => ({...placement, isStopping: stoppingSince.has(placement.partId)})),
					...added,
				],
			};
		});
		pass += 1;
	}

	return {passes: pass, evictedOn, evictions: evictedOn.length, startedOn};
};

// Guards against a guarantee that is missed while pass after pass evicts other work for a gang, since units of an earlier
// rank take what is being freed for it and the next pass chooses other workers.
await t.test('a gang starts on the workers on which work was evicted for it', async (t) => {
	const workers = Array.from({length: 12}, (_value, index) => newBusyWorker(`w${index}`));
	const without = playPasses(workers, undefined);
	t.ok(without.evictions > 1, `without reservations ${without.evictions} passes evict, on changing workers`);
	const reservations = newReservations();
	const {evictedOn, startedOn} = playPasses(workers, reservations);
	t.equal(evictedOn.length, 1, 'one pass evicts');
	t.same(startedOn?.toSorted(), evictedOn[0]?.toSorted());
});

/** Plans twice, with a change of the workers between the passes, and returns the second plan and its log. */
const planTwice = (
	change: (worker: PlanWorker) => PlanWorker | undefined,
	parts: readonly PlanPart[] = [GANG],
	count = 6,
) => {
	const workers = Array.from({length: count}, (_value, index) => newBusyWorker(`w${index}`));
	const {log, lines} = createRecordedLog();
	const reservations = createReservations({log, metrics: createMetrics(), now: () => 0});
	const first = plan(newPlanView(workers, [GANG]));
	reservations.update(first);
	const evicted = new Set(first.evictions.map(({partId}) => partId));
	const stopping = workers.map((worker) => ({
		...worker,
		placements: worker.placements.map((placement) => ({...placement, isStopping: evicted.has(placement.partId)})),
	}));
	const [heldId] = reservations.held().get(GANG.id)!.workerIds;
	const changed = stopping
		.map((worker) => (worker.id === heldId ? change(worker) : worker))
		.filter((worker) => worker !== undefined);
	const second = plan({...newPlanView(changed, parts), held: reservations.held()});
	reservations.update(second);
	return {first, second, heldId: heldId!, lines, reservations, changed};
};

// Guards against a gang that waits for a worker on which it can't start, and against other evictions than are needed then.
await t.test('a reservation is given up for a reason, and replaced by evictions on one worker', async (t) => {
	const changes = {
		'worker-gone': () => undefined,
		'worker-drains': (worker: PlanWorker) => ({...worker, isUsable: false, isDraining: true}),
		'zone-evacuated': (worker: PlanWorker) => ({...worker, isUsable: false, isEvacuated: true}),
		'worker-unusable': (worker: PlanWorker) => ({...worker, isUsable: false}),
		'worker-suspected': (worker: PlanWorker) => ({...worker, isSuspect: true}),
	} as const;
	for (const [reason, change] of Object.entries(changes)) {
		const {second, heldId, lines} = planTwice(change);
		t.same(second.released, [{partId: 'gang', reason}]);
		t.equal(second.evictions.length, 8, `${reason}: the units of one other worker`);
		t.notOk(second.held.get(GANG.id)!.workerIds.includes(heldId));
		t.equal(second.held.get(GANG.id)!.evictions, 40, 'evictions of both reservations count');
		t.match(
			lines.filter(({event}) => event === 'workers-released').map(({fields}) => fields),
			[{part: 'gang', reason}],
		);
	}
});

// Guards against the same when other work that can't be evicted has come to a held worker.
await t.test('a reservation that cannot be completed is given up', async (t) => {
	const taken = newPlacement('other', {need: WHOLE, priority: 0, isGuaranteed: true, isMovable: false});
	const {second} = planTwice(({id}) => newFullWorker(id, [taken], {capacity: WHOLE}));
	t.same(second.released, [{partId: 'gang', reason: 'cannot-complete'}]);
	t.equal(second.evictions.length, 8);
});

// Guards against a guarantee that is missed because work without one holds the workers.
await t.test('a guarantee may take workers that a part without one holds', async (t) => {
	const uncovered = {...GANG, isGuaranteed: false, rank: 10};
	const covered = newPlanPart('covered', {members: 6, need: WHOLE, isGuaranteed: true, workCoreMs: 9e9, rank: -10});
	const {second} = planTwice((worker) => worker, [uncovered, covered]);
	t.ok(second.evictions.every(({forPartId}) => forPartId === 'covered'));
	t.same(second.held.get('covered')?.workerIds.toSorted(), ['w0', 'w1', 'w2', 'w3', 'w4', 'w5']);
	t.same(second.released, [{partId: 'gang', reason: 'cannot-complete'}]);
});

// Guards against the opposite: a part with a guarantee that takes them although there is room for it elsewhere.
await t.test('a guarantee leaves held workers alone while there is other room', async (t) => {
	const uncovered = {...GANG, isGuaranteed: false, rank: 10};
	const covered = newPlanPart('covered', {need: ONE, isGuaranteed: true, rank: -10});
	const {changed, reservations} = planTwice(({placements, ...worker}) => ({
		...worker,
		free: ONE,
		placements: placements.slice(1),
	}));
	const workers = [...changed, newPlanWorker('idle', {capacity: WHOLE, free: WHOLE})];
	const third = plan({...newPlanView(workers, [uncovered, covered]), held: reservations.held()});
	t.match(third.starts, [{partId: 'covered', workerIds: ['idle']}]);
	t.same(third.released, []);
});

// Guards against a guarantee that takes what is being freed for another part in pass after pass without keeping it, so that
// the other part evicts in each of them.
await t.test('a guarantee keeps the workers that it has taken from a part without one', async (t) => {
	const uncovered = {...GANG, isGuaranteed: false, rank: 10};
	const covered = newPlanPart('covered', {need: WHOLE, isGuaranteed: true, workCoreMs: 9e9, rank: -10});
	const {second, changed, reservations} = planTwice((worker) => worker, [uncovered, covered], 4);
	t.equal(second.held.get('covered')?.workerIds.length, 1);
	const third = plan({...newPlanView(changed, [uncovered, covered]), held: reservations.held()});
	t.same(third.held.get('covered'), second.held.get('covered'));
});

// Guards against a part that loses its workers to a guarantee in pass after pass, although other work can be evicted for that.
await t.test('a guarantee evicts other work before it takes held workers', async (t) => {
	const uncovered = {...GANG, isGuaranteed: false, rank: 10};
	const covered = newPlanPart('covered', {need: WHOLE, isGuaranteed: true, workCoreMs: 9e9, rank: -10});
	const {first, second} = planTwice((worker) => worker, [uncovered, covered]);
	t.same(second.held.get(GANG.id), first.held.get(GANG.id));
	t.equal(second.evictions.length, 8);
	t.ok(second.evictions.every(({forPartId}) => forPartId === 'covered'));
});

// Guards against workers that stay reserved for a part that has started or ended.
await t.test('the reservation of a part that waits no more ends', async (t) => {
	for (const isStarted of [true, false]) {
		const {reservations, lines} = planTwice((worker) => worker);
		reservations.prune(
			() => false,
			() => isStarted,
		);
		t.equal(reservations.held().size, 0);
		t.match(lines.at(-1), {event: 'workers-released', fields: {reason: isStarted ? 'started' : 'ended'}});
	}
});
