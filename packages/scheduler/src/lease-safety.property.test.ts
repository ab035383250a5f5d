import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {createTestCluster, newWorker, submitStep, type Instance, type TestCluster} from './test/cluster.js';

type WorkerFault = 'cut-off' | 'mute' | 'draining' | 'healed';

/** A fault, or its end, that precedes a stretch of the simulated time. */
type Transition =
	| Readonly<{kind: 'worker'; worker: number; fault: WorkerFault}>
	| Readonly<{kind: 'store-down'; isLapsing: boolean}>
	| Readonly<{kind: 'store-up'}>
	| Readonly<{kind: 'renewals-lost'; count: number}>
	| Readonly<{kind: 'responses-lost'; count: number}>
	| Readonly<{kind: 'transactions-late'; count: number}>
	| Readonly<{kind: 'late-transactions-applied'}>
	| Readonly<{kind: 'leader-crashes'}>
	| Readonly<{kind: 'leader-resigns'}>;

type Step = Readonly<{transition: Transition; lengthMs: number}>;

const WORKERS = 3;
const STEP_MS = 50;
/** Longer than the longest lease, so that work of workers that stay away is started elsewhere. */
const SETTLE_MS = 14_000;

const count = fc.integer({min: 1, max: 4});

const transition: fc.Arbitrary<Transition> = fc.oneof(
	fc.record({
		kind: fc.constant('worker' as const),
		worker: fc.nat(WORKERS - 1),
		fault: fc.constantFrom<WorkerFault>('cut-off', 'mute', 'draining', 'healed'),
	}),
	fc.record({kind: fc.constant('store-down' as const), isLapsing: fc.boolean()}),
	fc.constant({kind: 'store-up'} as const),
	fc.record({kind: fc.constant('renewals-lost' as const), count}),
	fc.record({kind: fc.constant('responses-lost' as const), count}),
	fc.record({kind: fc.constant('transactions-late' as const), count}),
	fc.constant({kind: 'late-transactions-applied'} as const),
	fc.constant({kind: 'leader-crashes'} as const),
	fc.constant({kind: 'leader-resigns'} as const),
);

const schedule = fc.array(fc.record({transition, lengthMs: fc.integer({min: 100, max: 3500})}), {
	minLength: 4,
	maxLength: 10,
});

const applyWorkerFault = (cluster: TestCluster, workerIndex: number, fault: WorkerFault) => {
	const model = cluster.workers.get(`w${workerIndex}`)!;
	model.faults.isCutOff = fault === 'cut-off';
	model.faults.isMute = fault === 'mute';
	if (fault === 'draining') {
		cluster.report({...model.worker, state: 'draining', remainingMs: 4000});
	}
};

/** Runs the schedule and returns the units that ran on two workers at the same time. */
const findOverlaps = async (t: Test, steps: readonly Step[]): Promise<readonly string[]> => {
	const cluster = createTestCluster(
		t,
		Array.from({length: WORKERS}, (_value, index) => newWorker(`w${index}`)),
		() => ({runMs: 25_000, how: 'done'}),
	);
	for (const {faults} of cluster.workers.values()) {
		faults.clockRate = 0.98;
	}

	let started = 0;
	const startInstance = (): Instance => {
		started += 1;
		return cluster.startInstance(`i${started}`);
	};

	let instances = [startInstance(), startInstance()];
	await cluster.clock.tickAsync(600);
	for (const id of [1, 2]) {
		await submitStep(instances[0]!.scheduler.jobs, id, newStep({count: 3, accelerators: 2, estimateMs: 25_000}));
	}

	const apply = (change: Transition) => {
		const {faults} = cluster.store;
		switch (change.kind) {
			case 'worker': {
				applyWorkerFault(cluster, change.worker, change.fault);
				break;
			}

			case 'store-down': {
				faults.isDown = true;
				faults.isLapsing = change.isLapsing;
				break;
			}

			case 'store-up': {
				faults.isDown = false;
				break;
			}

			case 'renewals-lost': {
				faults.silentRenewals = change.count;
				break;
			}

			case 'responses-lost': {
				faults.lostResponses = change.count;
				break;
			}

			case 'transactions-late': {
				faults.delayed = change.count;
				break;
			}

			case 'late-transactions-applied': {
				cluster.store.release();
				break;
			}

			case 'leader-crashes':
			case 'leader-resigns': {
				// The holder of the leader key is not known here, so the longest-running instance is replaced.
				const [first, ...others] = instances;
				if (change.kind === 'leader-crashes') {
					first!.crash();
				} else {
					first!.scheduler.resign();
				}

				instances = [...others, startInstance()];
				break;
			}
		}
	};

	const overlaps = new Set<string>();
	const advance = async (lengthMs: number) => {
		for (let passedMs = 0; passedMs < lengthMs; passedMs += STEP_MS) {
			await cluster.clock.tickAsync(STEP_MS);
			const seen = new Set<string>();
			for (const {unit} of [...cluster.workers.values()].flatMap(({running}) => running())) {
				if (seen.has(unit)) {
					overlaps.add(unit);
				}

				seen.add(unit);
			}
		}
	};

	await advance(1500);
	for (const step of steps) {
		apply(step.transition);
		await advance(step.lengthMs);
	}

	cluster.store.faults.isDown = false;
	await advance(SETTLE_MS);
	return [...overlaps];
};

// Guards against a unit that is started elsewhere while its lease is still valid: over lost, paused and new terms, one-way
// partitions of workers, drains, and writes of the store that are lost or late.
await t.test('no unit runs on two workers at the same time over changes of the leader', async (t) => {
	for (const [index, steps] of fc.sample(schedule, {seed: 21, numRuns: 60}).entries()) {
		await t.test(`schedule ${index}`, async (t) => {
			t.same(await findOverlaps(t, steps), [], JSON.stringify(steps));
		});
	}
});
