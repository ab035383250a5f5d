import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {createSlotGroup, ENDPOINTS, SLOTS, type SlotGroup} from './test/slot-group.js';

const TOTAL = ENDPOINTS.length * SLOTS;
const SEEDS = [1, 2, 3, 4, 5];

const setUp = (t: Pick<Test, 'teardown'>) => {
	const clock = FakeTimers.install({now: 1_700_000_000_000});
	const group = createSlotGroup();
	t.teardown(async () => {
		await Promise.all([...group.nodes.keys()].map(async (id) => group.kill(id)));
		clock.uninstall();
	});
	return {clock, group};
};

const totalOf = (group: SlotGroup, id: string): number =>
	ENDPOINTS.reduce((sum, endpoint) => sum + group.nodes.get(id)!.slots.limitOf(endpoint), 0);

// Guards against an uneven start, and against store writes while nothing changes.
await t.test('slots are shared equally and stable load writes nothing', async (t) => {
	const {clock, group} = setUp(t);
	for (const id of ['a', 'b', 'c']) {
		group.start(id).demand = 5;
	}

	await clock.tickAsync(5000);
	const totals = ['a', 'b', 'c'].map((id) => totalOf(group, id));
	t.equal(
		totals.reduce((sum, total) => sum + total, 0),
		TOTAL,
	);
	t.ok(Math.min(...totals) >= 12, `totals ${totals.join(', ')}`);
	const {writes} = group.store;
	await clock.tickAsync(60_000);
	t.equal(group.store.writes, writes);
	for (const node of group.nodes.values()) {
		node.demand = 200;
	}

	await clock.tickAsync(10_000);
	const loaded = group.store.writes;
	await clock.tickAsync(60_000);
	t.equal(group.store.writes, loaded, 'stable overload writes nothing either');
});

// Guards against slots that stay idle on one instance while another refuses requests.
await t.test('unused shares move to where the load is and back', async (t) => {
	const {clock, group} = setUp(t);
	for (const id of ['a', 'b', 'c']) {
		group.start(id).demand = 1;
	}

	await clock.tickAsync(5000);
	group.nodes.get('a')!.demand = 100;
	await clock.tickAsync(10_000);
	t.ok(totalOf(group, 'a') >= TOTAL - 10, `the loaded instance has ${totalOf(group, 'a')}`);
	group.nodes.get('a')!.demand = 1;
	group.nodes.get('b')!.demand = 100;
	await clock.tickAsync(20_000);
	t.ok(totalOf(group, 'b') >= TOTAL - 10, `the newly loaded instance has ${totalOf(group, 'b')}`);
});

// Guards against slots that are lost with an instance, and against their reuse while that instance may still be running.
await t.test('shares of a killed instance are redistributed after the hold-down', async (t) => {
	const {clock, group} = setUp(t);
	for (const id of ['a', 'b', 'c']) {
		group.start(id).demand = 50;
	}

	await clock.tickAsync(5000);
	await group.kill('c');
	await clock.tickAsync(9000);
	t.ok(totalOf(group, 'a') + totalOf(group, 'b') < TOTAL);
	await clock.tickAsync(20_000);
	t.equal(totalOf(group, 'a') + totalOf(group, 'b'), TOTAL);
});

// Guards against slots that stay unused after a graceful shutdown.
await t.test('a leaving instance hands its shares over', async (t) => {
	const {clock, group} = setUp(t);
	for (const id of ['a', 'b', 'c']) {
		group.start(id).demand = 50;
	}

	await clock.tickAsync(5000);
	const leaving = group.nodes.get('c')!;
	leaving.state = 'leaving';
	await leaving.slots.handOver();
	await group.kill('c');
	await clock.tickAsync(3000);
	t.equal(totalOf(group, 'a') + totalOf(group, 'b'), TOTAL);
});

// Guards against double use of a slot: an instance that is partitioned and no longer listed must stop using its shares by itself.
await t.test('an instance without list and store stops using its shares', async (t) => {
	const {clock, group} = setUp(t);
	for (const id of ['a', 'b']) {
		group.start(id).demand = 50;
	}

	await clock.tickAsync(5000);
	const partitioned = group.nodes.get('b')!;
	partitioned.isPartitioned = true;
	partitioned.isListed = false;
	await clock.tickAsync(8500);
	t.equal(totalOf(group, 'b'), 0);
	await clock.tickAsync(20_000);
	t.equal(totalOf(group, 'a'), TOTAL);
	partitioned.isPartitioned = false;
	partitioned.isListed = true;
	await clock.tickAsync(10_000);
	t.ok(totalOf(group, 'b') > 0, 'it takes part again');
	t.equal(totalOf(group, 'a') + totalOf(group, 'b'), TOTAL);
});

// Guards against a store outage during which a listed instance can no longer send idempotent requests.
await t.test('shares stay unchanged while the store is unavailable', async (t) => {
	const {clock, group} = setUp(t);
	for (const id of ['a', 'b']) {
		group.start(id).demand = 50;
	}

	await clock.tickAsync(5000);
	group.store.outage = true;
	await clock.tickAsync(60_000);
	t.equal(totalOf(group, 'a') + totalOf(group, 'b'), TOTAL);
});

// Guards against any sequence of faults in which the instances together use more than an endpoint's slots.
for (const seed of SEEDS) {
	await t.test(`the sum never exceeds the slots, seed ${seed}`, async (t) => {
		const {clock, group} = setUp(t);
		const numbers = fc.sample(fc.nat({max: 1_000_000}), {seed, numRuns: 60_000})[Symbol.iterator]();
		const pick = (below: number) => (numbers.next().value ?? 0) % below;
		let started = 0;
		let worst = 0;
		const startOne = () => {
			started += 1;
			group.start(`n${started % 6}`);
		};

		startOne();
		for (let step = 0; step < 600; step += 1) {
			const ids = [...group.nodes.keys()];
			const id = ids[pick(ids.length)]!;
			const node = group.nodes.get(id)!;
			switch (pick(40)) {
				case 0: {
					if (ids.length < 5 && !group.nodes.has(`n${(started + 1) % 6}`)) {
						startOne();
					}

					break;
				}

				case 1: {
					if (ids.length > 2) {
						await group.kill(id);
					}

					break;
				}

				case 2: {
					node.isPartitioned = !node.isPartitioned;
					node.isListed = !node.isPartitioned;
					break;
				}

				case 3: {
					group.ownershipDispute.value = !group.ownershipDispute.value;
					break;
				}

				case 4: {
					group.store.unknownWrites = 2;
					break;
				}

				default: {
					node.demand = pick(60);
				}
			}

			await clock.tickAsync(100 + pick(400));
			for (const {used, slots} of group.nodes.values()) {
				for (const endpoint of ENDPOINTS) {
					used.set(endpoint, Math.min(slots.limitOf(endpoint), pick(SLOTS)));
				}
			}

			worst = Math.max(worst, ...ENDPOINTS.map((endpoint) => group.usable(endpoint)));
		}

		t.equal(worst, SLOTS, `at most ${worst} slots usable at one endpoint`);
	});
}
