import {Buffer} from 'node:buffer';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {createClocks} from '../clocks.js';
import {LEADER_KEY} from '../keys.js';
import {BOUNDS} from '../test/cluster.js';
import {createMemoryKeyValue, type MemoryKeyValue} from '../test/memory-key-value.js';
import {createModelMachines, type ModelMachines} from '../test/model-machines.js';
import {MAINTENANCE_POLL_MS} from './constants.js';
import {runWaves} from './run-waves.js';
import type {Wave, WaveState} from './types.js';

const MAINTENANCE_MS = 2000;

const WAVE: Wave = {number: 1, machineIds: ['a', 'b', 'c', 'd', 'e'], durationMs: 30_000, maxDown: 2};

type Fixture = Readonly<{
	clock: Clock;
	store: MemoryKeyValue;
	machines: ModelMachines;
	/** Starts a leader with the given term; the returned function ends the term. */
	lead: (term: number) => Promise<() => void>;
	state: () => Promise<string | undefined>;
	/** Workers that run a unit that may not be stopped. */
	protectedIds: Set<string>;
	/** Workers that an order may end. */
	orderedWorkers: Set<string>;
	/** Workers that get no new work, as of the latest step of a leader. */
	drained: () => readonly string[];
}>;

const createFixture = async (t: Test): Promise<Fixture> => {
	const clock = FakeTimers.install({now: 1_000_000});
	const store = createMemoryKeyValue();
	const machines = createModelMachines(WAVE.machineIds, MAINTENANCE_MS);
	store.put(`waves/${WAVE.number}`, Buffer.from(JSON.stringify(WAVE)));
	const running: Array<Promise<void>> = [];
	const controllers: AbortController[] = [];
	const protectedIds = new Set<string>();
	const orderedWorkers = new Set<string>();
	let drained: readonly string[] = [];
	t.teardown(async () => {
		for (const controller of controllers) {
			controller.abort();
		}

		await clock.tickAsync(10_000);
		await Promise.all(running);
		clock.uninstall();
	});
	return {
		clock,
		store,
		machines,
		protectedIds,
		orderedWorkers,
		drained: () => drained,
		async lead(number) {
			const controller = new AbortController();
			controllers.push(controller);
			store.put(LEADER_KEY, Buffer.from(String(number)));
			const leader = await store.get(LEADER_KEY);
			running.push(
				runWaves({
					port: machines.port,
					records: {
						prefix: 'waves/',
						decode: (_key, value) => JSON.parse(Buffer.from(value).toString()) as Wave,
						stateKey: (wave) => `states/${wave}`,
						encodeState: (state) => Buffer.from(state),
						decodeState: (value) => Buffer.from(value).toString() as WaveState,
					},
					store,
					term: {
						number,
						leaderRevision: leader!.revision,
						isValid: () => !controller.signal.aborted,
						abandon() {
							controller.abort();
						},
						signal: controller.signal,
					},
					log: createSilentLog(),
					metrics: createMetrics(),
					clocks: createClocks(),
					maintenanceMs: () => MAINTENANCE_MS,
					leaseMs: () => BOUNDS.machineLeaseMs,
					lostWorkOf: () => 0,
					isProtected: ({workerId = ''}) => protectedIds.has(workerId),
					setDrainDeadlines(deadlineByWorker) {
						drained = [...deadlineByWorker.keys()];
					},
					orderedWorkers,
					signal: controller.signal,
				}),
			);
			return () => {
				controller.abort();
			};
		},
		async state() {
			const item = await store.get(`states/${WAVE.number}`);
			return item && Buffer.from(item.value).toString();
		},
	};
};

await t.test('a wave takes each machine down once and is then completed', async (t) => {
	const {clock, machines, lead, state} = await createFixture(t);
	await lead(1);
	await clock.tickAsync(1000);
	t.equal(await state(), 'active');
	await clock.tickAsync(20_000);
	t.same(machines.started.toSorted(), WAVE.machineIds);
	t.equal(machines.maxDown(), WAVE.maxDown);
	t.equal(await state(), 'completed');
});

// Guards against an order without a response that takes effect late, while other machines have been ordered down in its place.
await t.test('an order without a response counts as in effect until it is settled', async (t) => {
	const {clock, machines, lead, state} = await createFixture(t);
	machines.faults.delaysMs.push(6000, 4000, 5000);
	await lead(1);
	await clock.tickAsync(30_000);
	t.ok(machines.maxDown() <= WAVE.maxDown);
	t.same(machines.started.toSorted(), WAVE.machineIds);
	t.equal(await state(), 'completed');
});

// Guards against two leaders that take turns at one machine: a step of the new leader's wall clock made the time that it
// waits for late orders of the earlier one seem to have passed.
await t.test('a new leader waits for late orders of the earlier one, also over a step of its wall clock', async (t) => {
	const {clock, machines, lead} = await createFixture(t);
	await lead(2);
	await clock.tickAsync(500);
	clock.setSystemTime(Date.now() + 10_000);
	await clock.tickAsync(BOUNDS.machineLeaseMs - 500);
	t.same(machines.started, []);
	await clock.tickAsync(20_000);
	t.same(machines.started.toSorted(), WAVE.machineIds);
});

// Guards against a new leader that does not know the orders of the previous one.
await t.test('a new leader continues the wave', async (t) => {
	const {clock, machines, lead, state} = await createFixture(t);
	machines.faults.delaysMs.push(3000);
	const end = await lead(1);
	await clock.tickAsync(2500);
	end();
	await lead(2);
	await clock.tickAsync(25_000);
	t.ok(machines.maxDown() <= WAVE.maxDown);
	t.same(machines.started.toSorted(), WAVE.machineIds);
	t.equal(await state(), 'completed');
});

await t.test('a machine that is removed for good does not block the wave', async (t) => {
	const {clock, machines, lead, state} = await createFixture(t);
	machines.remove('c');
	await lead(1);
	await clock.tickAsync(20_000);
	t.same(machines.started.toSorted(), ['a', 'b', 'd', 'e']);
	t.equal(await state(), 'completed');
});

// Guards against a wave that is completed although the maintenance of a machine is due, since one listing lacked the machine.
await t.test('a machine that listings lack is maintained once it is listed', async (t) => {
	const {clock, machines, lead, state} = await createFixture(t);
	machines.faults.unlisted.push(['a', 'b', 'c', 'd', 'e'], ['d']);
	await lead(1);
	await clock.tickAsync(1000);
	t.equal(await state(), 'active');
	await clock.tickAsync(20_000);
	t.same(machines.started.toSorted(), WAVE.machineIds);
	t.equal(await state(), 'completed');
});

// Guards against more machines down than the wave allows, since one that is under maintenance is missing from a listing.
await t.test('a machine under maintenance counts as down while listings lack it', async (t) => {
	const {clock, machines, lead} = await createFixture(t);
	machines.faults.unlisted.push([], ['a', 'b'], ['a', 'b']);
	await lead(1);
	await clock.tickAsync(20_000);
	t.same(machines.started.toSorted(), WAVE.machineIds);
	t.equal(machines.maxDown(), WAVE.maxDown);
});

// Guards against a worker that gets new work in the middle of its drain, since its machine is missing from a listing, and
// against an order that rests on what an earlier listing said.
await t.test('a machine stays drained, and is not ordered down, while listings lack it', async (t) => {
	const {clock, machines, lead, drained, protectedIds} = await createFixture(t);
	protectedIds.add('w-a');
	await lead(1);
	await clock.tickAsync(500);
	t.ok(drained().includes('w-a'));
	machines.faults.unlisted.push(['a']);
	protectedIds.clear();
	await clock.tickAsync(MAINTENANCE_POLL_MS);
	t.same(machines.faults.unlisted, []);
	t.ok(drained().includes('w-a'));
	t.notOk(machines.started.includes('a'));
	await clock.tickAsync(MAINTENANCE_POLL_MS);
	t.ok(machines.started.includes('a'));
});

// Guards against a wave that is shown as active for good, because the write of that state takes effect after the wave has
// been completed.
await t.test('a write of the state that takes effect late does not replace a newer state', async (t) => {
	const {clock, store, lead, state} = await createFixture(t);
	store.faults.delayed = 1;
	await lead(1);
	await clock.tickAsync(25_000);
	t.equal(await state(), 'completed');
	store.release();
	t.equal(await state(), 'completed');
});

// Guards against orders of two leaders for one machine that follow each other faster than the platform allows. An instance
// that ends by itself hands over within the leadership lease, which is shorter than that limit.
await t.test('a new leader orders no maintenance until the orders of the previous one are old enough', async (t) => {
	const {clock, machines, lead, state} = await createFixture(t);
	machines.faults.delaysMs.push(1000);
	const end = await lead(1);
	await clock.tickAsync(300);
	end();
	await lead(2);
	await clock.tickAsync(30_000);
	const [first] = machines.orders;
	const repeats = machines.orders.filter(({machineId, token}) => machineId === first?.machineId && token === 2);
	t.ok(repeats.length > 0);
	t.ok(repeats.every(({atMs}) => atMs - first!.atMs >= BOUNDS.machineLeaseMs));
	t.equal(await state(), 'completed');
});

// Guards against units that are placed on a machine that is still going down: its order is repeated until it is confirmed,
// and each repeat ends what runs there.
await t.test('a machine with an unconfirmed order gets no new work', async (t) => {
	const {clock, machines, lead, drained} = await createFixture(t);
	machines.faults.delaysMs.push(60_000, 60_000, 60_000);
	await lead(1);
	await clock.tickAsync(1000);
	t.match(machines.orders, [{machineId: 'a'}]);
	t.ok(drained().includes('w-a'));
});

// Guards against an order that rests on an old check: units may have come to be protected since it was first sent.
await t.test('an unconfirmed order is not repeated while the machine runs a protected unit', async (t) => {
	const {clock, machines, protectedIds, lead, state} = await createFixture(t);
	machines.faults.delaysMs.push(60_000);
	await lead(1);
	await clock.tickAsync(300);
	protectedIds.add('w-a');
	const countOrders = () => machines.orders.filter(({machineId}) => machineId === 'a').length;
	await clock.tickAsync(5000);
	t.equal(countOrders(), 1);
	protectedIds.delete('w-a');
	await clock.tickAsync(15_000);
	t.equal(countOrders(), 2);
	t.equal(await state(), 'completed');
});

// Guards against an order for a machine whose worker has been replaced since the machines were listed.
await t.test('no order rests on a listing of the machines from before slow orders', async (t) => {
	const {clock, machines, protectedIds, lead} = await createFixture(t);
	machines.faults.replyMs = 1400;
	await lead(1);
	await clock.tickAsync(1000);
	t.match(machines.orders, [{machineId: 'a'}]);
	machines.replaceWorker('b');
	protectedIds.add('w-b-next');
	await clock.tickAsync(8000);
	t.notOk(machines.orders.some(({machineId}) => machineId === 'b'));
});

// Guards against maintenance that ends a unit which became protected, or an order of a term that ended, while the order
// waited for a connection.
await t.test('an order that waits for a connection is not sent after its reason has ended', async (t) => {
	for (const reason of ['protection', 'term'] as const) {
		await t.test(reason, async (t) => {
			const {clock, machines, lead, protectedIds} = await createFixture(t);
			machines.faults.connectionWaitMs = 500;
			const end = await lead(1);
			await clock.tickAsync(400);
			if (reason === 'term') {
				end();
			} else {
				for (const id of WAVE.machineIds) {
					protectedIds.add(`w-${id}`);
				}
			}

			await clock.tickAsync(3000);
			t.same(machines.orders, []);
			protectedIds.clear();
			await clock.tickAsync(5000);
			t.equal(machines.orders.length > 0, reason === 'protection', 'the order is sent when it may be');
		});
	}
});

// Guards against an order whose effect nobody counts before the reports show it, and against a machine that counts as going
// down for good, which would use up the disruption budget: the last order of an earlier leader is repeated to a machine whose
// maintenance has ended.
await t.test('workers count as ordered down from before the order until they have outlived it', async (t) => {
	const {clock, machines, orderedWorkers, lead, state} = await createFixture(t);
	machines.faults.delaysMs.push(300);
	const end = await lead(1);
	await clock.tickAsync(200);
	t.same([...orderedWorkers], ['w-a']);
	end();
	orderedWorkers.clear();
	await lead(2);
	const repeated = () => machines.orders.find(({token}) => token === 2);
	for (let passedMs = 0; passedMs < 10_000 && !repeated(); passedMs += 50) {
		await clock.tickAsync(50);
	}

	t.match(repeated(), {machineId: 'a'});
	t.ok(orderedWorkers.has('w-a-next'));
	await clock.tickAsync(20_000);
	t.equal(await state(), 'completed');
	t.notOk(orderedWorkers.has('w-a-next'));
});
