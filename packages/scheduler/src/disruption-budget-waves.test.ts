import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import type {Step} from '@bergamotgauge/jobs';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import type {Wave} from './maintenance/types.js';
import {DEFAULT_POLICY, policyWithout, type Policy} from './policy.js';
import {submitStep, unitOf} from './test/cluster.js';
import {createMaintenanceCluster, type MaintenanceCluster} from './test/maintenance-cluster.js';

const WAVE: Wave = {number: 1, machineIds: [], durationMs: 20_000, maxDown: 1};

/** Longer than the start of the units and the first reports that show them at work. */
const START_MS = 8000;

/** Starts an instance and the units of a long-running step on the machines. */
const createFixture = async (
	t: Test,
	machineIds: readonly string[],
	change: Partial<Step>,
	policy?: Policy,
): Promise<MaintenanceCluster> => {
	const fixture = createMaintenanceCluster(t, machineIds, policy);
	const {scheduler} = fixture.cluster.startInstance('i-1');
	await fixture.cluster.clock.tickAsync(2000);
	await submitStep(scheduler.jobs, 1, newStep({longRunning: true, maxAbsent: 1, maxPerWorker: 1, ...change}));
	await fixture.cluster.clock.tickAsync(START_MS);
	return fixture;
};

// Guards against a wave that never ends because the units on its machines are protected while other units may be stopped.
await t.test('a wave for the machine of any one unit ends', async (t) => {
	for (const index of [0, 1]) {
		await t.test(`unit ${index}`, async (t) => {
			const {machines, startWave, stateOf, machineOf, observe, leastServing} = await createFixture(t, ['a', 'b'], {
				count: 2,
			});
			const machineId = machineOf(unitOf(1, index))!;
			startWave({...WAVE, machineIds: [machineId]});
			await observe(40_000);
			t.same(machines.started, [machineId]);
			t.equal(leastServing(), 1);
			t.equal(stateOf(1), 'completed');
		});
	}
});

/** Units stay on drained machines until these go down. */
const WITHOUT_MOVES = policyWithout(['drain-moves']);

// Guards against two machines that go down together because the reports do not show the effect of the first order yet.
await t.test('machines that a wave may take down together go down one by one if the budget asks for it', async (t) => {
	for (const [name, policy] of Object.entries({'with moves': DEFAULT_POLICY, 'without moves': WITHOUT_MOVES})) {
		await t.test(name, async (t) => {
			const {machines, startWave, stateOf, observe, leastServing} = await createFixture(
				t,
				['a', 'b'],
				{count: 2},
				policy,
			);
			startWave({...WAVE, machineIds: ['b', 'a'], maxDown: 2, durationMs: 4000});
			await observe(60_000);
			t.equal(leastServing(), 1);
			t.same(machines.started.toSorted(), ['a', 'b']);
			t.equal(stateOf(1), 'completed');
		});
	}
});

// Guards against a budget that is spread over the machines, so that each keeps a protected unit and none can go down.
await t.test('machines with several units of a step are emptied one after the other', async (t) => {
	const {machines, startWave, stateOf, observe, leastServing} = await createFixture(t, ['a', 'b', 'c'], {
		count: 6,
		maxAbsent: 2,
		maxPerWorker: 2,
	});
	startWave({...WAVE, machineIds: ['c', 'b', 'a'], maxDown: 3});
	await observe(90_000);
	t.equal(leastServing(), 4);
	t.same(machines.started.toSorted(), ['a', 'b', 'c']);
	t.equal(stateOf(1), 'completed');
});

// Guards against machines of two waves that go down together although each wave keeps its own limit.
await t.test('concurrent waves share the disruption budget', async (t) => {
	const {machines, startWave, stateOf, observe, leastServing} = await createFixture(t, ['a', 'b', 'c', 'd'], {
		count: 4,
	});
	startWave({...WAVE, machineIds: ['d', 'c']});
	startWave({...WAVE, number: 2, machineIds: ['b', 'a']});
	await observe(100_000);
	t.equal(leastServing(), 3);
	t.same(machines.started.toSorted(), ['a', 'b', 'c', 'd']);
	t.same([stateOf(1), stateOf(2)], ['completed', 'completed']);
});

const MACHINE_IDS = ['a', 'b', 'c', 'd'];

const wavesOf = (order: readonly string[], split: number, maxDown: readonly [number, number]): readonly Wave[] =>
	[order.slice(0, split), order.slice(split)]
		.map((machineIds, index) => ({...WAVE, number: index + 1, machineIds, maxDown: maxDown[index]!}))
		.filter(({machineIds}) => machineIds.length > 0);

const schedule = fc.record({
	/** Units of the step on each machine; there is no room for more, so that units wait for their machines to come back. */
	perWorker: fc.integer({min: 1, max: 2}),
	/** Further units that may be absent, beyond those of one machine. */
	spareBudget: fc.integer({min: 0, max: 2}),
	order: fc.shuffledSubarray(MACHINE_IDS, {minLength: 1}),
	split: fc.nat(MACHINE_IDS.length),
	maxDown: fc.tuple(fc.integer({min: 1, max: 3}), fc.integer({min: 1, max: 3})),
	/** Time between the starts of the two waves. */
	delayMs: fc.integer({min: 0, max: 6000}),
	durationMs: fc.integer({min: 1000, max: 30_000}),
	isMoving: fc.boolean(),
	/** Delays of the first orders, which get no response. */
	orderDelaysMs: fc.array(fc.integer({min: 100, max: 5000}), {maxLength: 3}),
});

// Guards against waves, of any machines and at any distance, that stop more units than the budget allows or never end.
await t.test('all waves end within the disruption budget', async (t) => {
	for (const [index, sample] of fc.sample(schedule, {seed: 28, numRuns: 20}).entries()) {
		await t.test(`schedule ${index}`, async (t) => {
			const {perWorker, spareBudget, order, split, maxDown, delayMs, durationMs, isMoving, orderDelaysMs} = sample;
			const count = perWorker * MACHINE_IDS.length;
			const maxAbsent = perWorker + spareBudget;
			const {machines, startWave, stateOf, observe, leastServing} = await createFixture(
				t,
				MACHINE_IDS,
				{count, maxAbsent, maxPerWorker: perWorker},
				isMoving ? DEFAULT_POLICY : WITHOUT_MOVES,
			);
			machines.faults.delaysMs.push(...orderDelaysMs);
			const waves = wavesOf(order, split, maxDown).map((wave) => ({...wave, durationMs}));
			for (const wave of waves) {
				startWave(wave);
				await observe(delayMs);
			}

			await observe(100_000);
			t.ok(leastServing() >= count - maxAbsent, `${leastServing()} of ${count} units: ${JSON.stringify(sample)}`);
			t.ok(
				waves.every(({number}) => stateOf(number) === 'completed'),
				`the waves end: ${JSON.stringify(sample)}`,
			);
		});
	}
});
