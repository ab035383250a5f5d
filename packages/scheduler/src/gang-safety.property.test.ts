/** Pattern: changes of the leader while gangs start on sound workers, of which some take long to get a connection to. */
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf, type Instance} from './test/cluster.js';
import type {CallOutcome} from './test/model-worker-faults.js';

type Change = 'leader-crashes' | 'leader-resigns' | 'renewals-lost' | 'none';

type Step = Readonly<{
	/** Members of the gangs that are submitted. */
	gangs: readonly number[];
	/** Time from their submission until the change. */
	beforeChangeMs: number;
	change: Change;
	/** Time until the next step: longer than an election, so that gangs cannot wait for a leader. */
	afterChangeMs: number;
	/** Outcomes of starts, and waits for a connection, by worker. */
	starts: ReadonlyArray<readonly CallOutcome[]>;
	connectionWaitsMs: readonly number[];
}>;

const WORKERS = 6;
const RUN_MS = 1500;
const SETTLE_MS = 40_000;

/** Renewals of the leader lease that are lost so that it ends. */
const LOST_RENEWALS = 6;

const perWorker = <Value>(value: fc.Arbitrary<Value>) => fc.array(value, {minLength: WORKERS, maxLength: WORKERS});

const step: fc.Arbitrary<Step> = fc.record({
	gangs: fc.array(fc.integer({min: 2, max: 4}), {minLength: 1, maxLength: 3}),
	beforeChangeMs: fc.integer({min: 0, max: 1200}),
	change: fc.constantFrom<Change>('leader-crashes', 'leader-resigns', 'renewals-lost', 'none'),
	afterChangeMs: fc.integer({min: 3500, max: 6000}),
	starts: perWorker(
		fc.constantFrom<readonly CallOutcome[]>([], [], ['unsent'], ['unsent', 'served'], ['refused', 'served']),
	),
	connectionWaitsMs: perWorker(fc.constantFrom(0, 0, 50, 150)),
});

/** Plays the steps; the workers' connections are sound again after them. */
const play = async (t: Test, steps: readonly Step[]) => {
	const membersById = new Map<string, readonly string[]>();
	const cluster = createTestCluster(
		t,
		Array.from({length: WORKERS}, (_value, index) => newWorker(`w${index}`)),
		() => ({runMs: RUN_MS, how: 'done'}),
		{acceleratorsOf: () => 4, gangUnitsOf: (unit) => membersById.get(unit.split('.')[0]!)!},
	);
	let started = 0;
	const startInstance = (): Instance => {
		started += 1;
		return cluster.startInstance(`i${started}`);
	};

	let instances = [startInstance(), startInstance()];
	const workers = [...cluster.workers.values()];
	await cluster.clock.tickAsync(600);
	for (const {gangs, beforeChangeMs, change, afterChangeMs, starts, connectionWaitsMs} of steps) {
		for (const [index, {faults}] of workers.entries()) {
			faults.patterns.start = starts[index]!;
			faults.connectionWaitMs = connectionWaitsMs[index]!;
			faults.responseLossMs = 1000;
		}

		for (const count of gangs) {
			const id = membersById.size + 1;
			membersById.set(
				addressOf(id).id,
				Array.from({length: count}, (_value, index) => unitOf(id, index)),
			);
			await submitStep(
				instances[1]!.scheduler.jobs,
				id,
				newStep({count, gang: true, accelerators: 4, estimateMs: 20_000}),
			);
		}

		await cluster.clock.tickAsync(beforeChangeMs);
		const [first, second] = instances;
		if (change === 'renewals-lost') {
			cluster.store.faults.silentRenewals = LOST_RENEWALS;
		} else if (change !== 'none') {
			if (change === 'leader-crashes') {
				first!.crash();
			} else {
				first!.scheduler.resign();
			}

			instances = [second!, startInstance()];
		}

		await cluster.clock.tickAsync(afterChangeMs);
	}

	for (const {faults} of workers) {
		faults.patterns.start = [];
		faults.connectionWaitMs = 0;
	}

	await cluster.clock.tickAsync(SETTLE_MS);
	const {jobs} = instances[1]!.scheduler;
	const states = await Promise.all([...membersById.keys()].map(async (_id, index) => jobs.state(addressOf(index + 1))));
	return {violations: cluster.violations, states};
};

// Guards against members of a gang that wait in vain for the others, and against gangs that never run, after any kind of change
// of the leader at any moment of their starts.
await t.test('no member of a gang runs alone over changes of the leader', async (t) => {
	const schedules = fc.sample(fc.array(step, {minLength: 3, maxLength: 6}), {seed: 38, numRuns: 60});
	for (const [index, steps] of schedules.entries()) {
		await t.test(`schedule ${index}`, async (t) => {
			const {violations, states} = await play(t, steps);
			t.same(violations, [], JSON.stringify(steps));
			t.ok(
				states.every((state) => state === 'completed'),
				`the jobs end: ${states.join(', ')}`,
			);
		});
	}
});
