import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import type {JobRecord, JobSpecification} from '@bergamotgauge/model';
import {xoroshiro128plus} from 'pure-rand';
import t from 'tap';
import {withEviction} from './rack-record.js';
import {
	createCrashInjector,
	createDelayInterceptor,
	createFreezeInjector,
	type FaultInjector,
} from './test/fault-injection.js';
import {createTestCluster, specificationOf, type TestEngine, type TestCluster} from './test/test-cluster.js';

/** Limit on the fault positions tried; exceeds the calls of any scenario. */
const MAX_CALLS = 60;

/** Longer than a worker's lease, so that every run can end. */
const SETTLE_MS = 200_000;

/** Time in which a frozen process resumes and acts. */
const RESUME_MS = 25_000;

type Scenario = Readonly<{
	name: string;
	specification: JobSpecification;
	/** Changes the job or its placement through the first engine while the job runs. */
	disturb?: (engine: TestEngine, cluster: TestCluster, job: JobRecord) => Promise<void>;
	allowedOutcomes: readonly string[];
	/** Maximum starts of the job's task on one worker over all attempts. */
	maxStarts: number;
}>;

const SCENARIOS: readonly Scenario[] = [
	{
		name: 'a gang runs to its end',
		specification: specificationOf(16, {runMs: 1000, answer: 'whole'}),
		allowedOutcomes: ['succeeded'],
		maxStarts: 1,
	},
	{
		name: 'an at-most-once job',
		specification: specificationOf(16, {runMs: 1000, answer: 'whole'}, 'once'),
		allowedOutcomes: ['succeeded'],
		maxStarts: 1,
	},
	{
		name: 'a failing job is tried three times',
		specification: specificationOf(4, {runMs: 1000, result: 'fail'}),
		allowedOutcomes: ['failed'],
		maxStarts: 3,
	},
	{
		name: 'a failing at-most-once job is tried once',
		specification: specificationOf(4, {runMs: 1000, result: 'fail'}, 'once'),
		allowedOutcomes: ['failed'],
		maxStarts: 1,
	},
	{
		name: 'a cancelled job',
		specification: specificationOf(16, {runMs: 3000, answer: 'whole'}),
		async disturb({jobs}, _cluster, {id}) {
			await jobs.update(id, (record) => ({...record, cancelRequested: true}));
		},
		allowedOutcomes: ['cancelled', 'succeeded'],
		maxStarts: 1,
	},
	{
		name: 'an evicted job continues from its checkpoint',
		specification: specificationOf(16, {runMs: 3000, answer: 'whole', checkpointMs: 100}),
		async disturb({racks}, _cluster, {id}) {
			await racks.write('r0', (record) => withEviction(record, id, Date.now() + 1000));
		},
		allowedOutcomes: ['succeeded'],
		maxStarts: 2,
	},
];

const findJob = (cluster: TestCluster): JobRecord | undefined => cluster.jobs()[0];

const settle = async (clock: Clock, isSettled: () => boolean): Promise<void> => {
	const untilMs = clock.now + SETTLE_MS;
	while (clock.now < untilMs && !isSettled()) {
		await clock.tickAsync(250);
	}
};

const isDone = (cluster: TestCluster): boolean =>
	cluster.jobs().every((job) => job.state === 'ended') && cluster.racks().every((rack) => rack.placements.length === 0);

type Run = Readonly<{cluster: TestCluster; wasAccepted: boolean}>;

const runScenario = async (clock: Clock, scenario: Scenario, {intercept, hasCrashed}: FaultInjector): Promise<Run> => {
	const cluster = await createTestCluster();
	const first = cluster.startEngine({id: 'first', intercept});
	let wasAccepted = false;
	const runJob = async () => {
		const job = await first.jobs.submit('alpha', scenario.specification);
		wasAccepted = true;
		await new Promise((resolve) => {
			setTimeout(resolve, 500);
		});
		await scenario.disturb?.(first, cluster, job);
	};

	void runJob();
	await settle(clock, () => hasCrashed() || (wasAccepted && isDone(cluster)));
	// A crashed process is not shut down cleanly; its loops hang on calls that never return.
	const second = cluster.startEngine({id: 'second'});
	await settle(clock, () => isDone(cluster));
	// A frozen process resumes during this time and acts on the state that it read before.
	await clock.tickAsync(RESUME_MS);
	void first.close();
	await second.close();
	return {cluster, wasAccepted};
};

const findFaults = ({cluster, wasAccepted}: Run, {allowedOutcomes, maxStarts}: Scenario): readonly string[] => {
	const job = findJob(cluster);
	const outcome = job?.outcome;
	const starts = [...cluster.workers.values()].map((worker) => worker.starts.get(job?.id ?? '') ?? 0);
	return [
		wasAccepted && !job ? 'the accepted job is gone' : undefined,
		job && job.state !== 'ended' ? `the job is ${job.state} in attempt ${job.attempt}` : undefined,
		outcome && !allowedOutcomes.includes(outcome.kind)
			? `the outcome is ${outcome.kind} (${outcome.verdict}): ${outcome.reason}`
			: undefined,
		isDone(cluster) ? undefined : 'a placement is left',
		Math.max(...starts) > maxStarts ? `tasks started ${starts.join(', ')} times` : undefined,
		outcome?.kind === 'succeeded' && outcome.answer !== 'whole' ? 'the answer is incomplete' : undefined,
	].filter((fault) => fault !== undefined);
};

type Failure = Readonly<{name: string; createInjector: (at: number) => FaultInjector}>;

/** Longer than the time in which the second engine finishes the work. */
const FREEZE_MS = 20_000;

const FAILURES: readonly Failure[] = [
	{name: 'crash before', createInjector: (at) => createCrashInjector(at, 'before')},
	{name: 'crash after', createInjector: (at) => createCrashInjector(at, 'after')},
	{name: 'freeze before', createInjector: (at) => createFreezeInjector(at, FREEZE_MS)},
];

// Guards against a job that is lost, runs partially, runs twice, or leaves accelerators held when its instance crashes or freezes between any two steps.
for (const scenario of SCENARIOS) {
	await t.test(`recovery: ${scenario.name}`, {timeout: 120_000}, async (t) => {
		const clock = FakeTimers.install({now: 1_000_000});
		t.teardown(() => {
			clock.uninstall();
		});
		for (const failure of FAILURES) {
			for (let at = 1; at <= MAX_CALLS; at += 1) {
				const injector = failure.createInjector(at);
				const run = await runScenario(clock, scenario, injector);
				if (!injector.hasCrashed()) {
					t.ok(at > 1, `${failure.name}: the scenario has ${at - 1} calls`);
					break;
				}

				t.same(findFaults(run, scenario), [], `${failure.name} call ${at} (${injector.calls[at - 1]})`);
			}
		}
	});
}

// Guards against a job that two instances start because each considers itself the owner.
await t.test('recovery: two owners at the same time', {timeout: 120_000}, async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const scenario: Scenario = {
		name: 'several jobs',
		specification: specificationOf(8, {runMs: 1000, answer: 'whole'}, 'once'),
		allowedOutcomes: ['succeeded'],
		maxStarts: 1,
	};
	for (let seed = 1; seed <= 20; seed += 1) {
		const cluster = await createTestCluster(2);
		const engines = [0, 1].map((index) =>
			cluster.startEngine({
				id: `engine-${index}`,
				intercept: createDelayInterceptor(xoroshiro128plus(seed * 2 + index), 40),
			}),
		);
		for (let index = 0; index < 6; index += 1) {
			void engines[index % 2]!.jobs.submit('alpha', scenario.specification);
		}

		await settle(clock, () => cluster.jobs().length === 6 && isDone(cluster));
		const starts = cluster
			.jobs()
			.map((job) => [...cluster.workers.values()].reduce((sum, worker) => sum + (worker.starts.get(job.id) ?? 0), 0));
		t.same(starts, [1, 1, 1, 1, 1, 1], `seed ${seed}: each job starts once`);
		t.same(
			cluster.jobs().map((job) => job.outcome?.kind),
			Array.from({length: 6}, () => 'succeeded'),
			`seed ${seed}: each job succeeds`,
		);
		const closed = Promise.all(engines.map(async (engine) => engine.close()));
		await clock.tickAsync(1000);
		await closed;
	}
});
