import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {AdvicePort} from './types.js';
import {addressOf, createTestCluster, newWorker, QUEUE, submitStep, unitOf} from './test/cluster.js';

const LONG_RUNNING = {runMs: 3_600_000, how: 'done', startupMs: 1000} as const;

// Guards against units at work being taken for units that stand still, since their percent stays at 100.
await t.test('a unit without end is left at work', async (t) => {
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

// Guards against a unit that stays away after it has ended, however old its job is.
await t.test('a unit without end runs again after each end', async (t) => {
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

// Guards against a job of an advised queue that never starts, or starts where the service does not allow it.
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
	t.same(asked, [`${unitOf(1).slice(0, -2)}`], 'one question for the step');
});

// Guards against units that use what others leave and go on at full speed while users of the others wait.
await t.test('a unit that disturbs others is slowed until they are well', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => LONG_RUNNING);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({longRunning: true, tailTargetMs: 100}));
	await submitStep(scheduler.jobs, 2, newStep({longRunning: true, usesLeftover: true, accelerators: 0}));
	const {throttles, tails} = cluster.workers.get('w1')!;
	tails.set(unitOf(1), 180);
	await cluster.clock.tickAsync(4000);
	t.equal(throttles.get(unitOf(2)), 0);
	tails.set(unitOf(1), 20);
	await cluster.clock.tickAsync(15_000);
	t.equal(throttles.get(unitOf(2)), 100);
	t.equal(cluster.startsOf(unitOf(2)), 1, 'a slowed unit does not count as one that stands still');
});
