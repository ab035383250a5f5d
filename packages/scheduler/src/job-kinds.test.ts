import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {AdvicePort} from './types.js';
import {addressOf, createTestCluster, newWorker, QUEUE, submitStep, unitOf} from './test/cluster.js';

const LONG_RUNNING = {runMs: 3_600_000, how: 'done', startupMs: 1000} as const;

// Guards against serving units being taken for stalled ones, since their progress stays at 100 percent.
await t.test('a long-running unit that is serving is not stopped', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => LONG_RUNNING);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({count: 3, longRunning: true}));
	await cluster.clock.tickAsync(60_000);
	t.equal([...cluster.workers.values()].flatMap(({running}) => running()).length, 3);
	t.same(
		[0, 1, 2].map((index) => cluster.startsOf(unitOf(1, index))),
		[1, 1, 1],
	);
});

// Guards against a long-running unit that is not restarted after it has ended, however old its job is.
await t.test('a long-running unit is restarted after each end', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({
		...LONG_RUNNING,
		runMs: 20_000,
		how: 'failed',
	}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({longRunning: true}));
	await cluster.clock.tickAsync(90_000);
	t.equal(cluster.startsOf(unitOf(1)), 5);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'active');
});

const ADVICE = {decideMs: 20, eachMs: 1, validMs: 3000};

// Guards against a job that needs approval and never starts, or starts on a worker that the advice service has not
// approved.
await t.test('a job that needs advice runs on an approved worker', async (t) => {
	const asked: string[] = [];
	const advice: AdvicePort = {
		async ask(stepId) {
			asked.push(stepId);
			return {tickets: new Map([['w2', 'pass']]), validMs: ADVICE.validMs};
		},
	};
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], undefined, {advice});
	cluster.workers.get('w2')!.faults.ticket = 'pass';
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await scheduler.jobs.submit({
		queue: {...QUEUE, advice: ADVICE},
		customer: 'acme',
		submission: newSubmission(1, [newStep({count: 2})]),
	});
	await cluster.clock.tickAsync(3000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.workers.get('w2')!.starts.size, 2);
	t.same(asked, [`${unitOf(1).slice(0, -2)}`], 'one request for the step');
});

// Guards against best-effort units that run at full speed while latency-sensitive ones exceed their response target.
await t.test('a best-effort unit is throttled while it interferes with a latency-sensitive one', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => LONG_RUNNING);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({longRunning: true, tailTargetMs: 100}));
	await submitStep(scheduler.jobs, 2, newStep({longRunning: true, usesLeftover: true, accelerators: 0}));
	const {throttles, tailLatencies} = cluster.workers.get('w1')!;
	tailLatencies.set(unitOf(1), 180);
	await cluster.clock.tickAsync(4000);
	t.equal(throttles.get(unitOf(2)), 0);
	tailLatencies.set(unitOf(1), 20);
	await cluster.clock.tickAsync(15_000);
	t.equal(throttles.get(unitOf(2)), 100);
	t.equal(cluster.startsOf(unitOf(2)), 1, 'a throttled unit does not count as stalled');
});
