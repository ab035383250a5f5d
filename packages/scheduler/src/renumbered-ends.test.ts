/** Pattern: a worker starts again under its id without reporting start times, so only its ends, numbered anew, show it. */
import FakeTimers from '@sinonjs/fake-timers';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {createClocks} from './clocks.js';
import {
	addressOf,
	BOUNDS,
	createTestCluster,
	newWorker,
	submitStep,
	unitOf,
	WORKER_RESTART_MS,
} from './test/cluster.js';
import type {EndedUnit, WorkerPort} from './types.js';
import {createWorkerLink} from './worker-link.js';
import type {WorkerEnd} from './worker-link-types.js';

const STEP = newStep({cpuMillis: 4000, accelerators: 1, estimateMs: 3000});

/** Calls after which the scripted worker falls silent, so that a loop without a pause ends the test instead of hanging it. */
const MAX_CALLS = 2000;

/** Renewals in five seconds, both ends included, by a leader that asks a worker ten times a second at most, after one that only reads its state. */
const MAX_RENEWALS = 52;

const newEnd = (sequence: number, unit = `j.0.0.${sequence}`): EndedUnit => ({
	sequence,
	unit,
	run: 1,
	how: 'done',
	checkpoint: '',
});

const createScriptedLink = (listEnds: (acknowledgedSequence: number) => readonly EndedUnit[]) => {
	let calls = 0;
	const ends: WorkerEnd[] = [];
	const unused = async () => {
		throw new Error('not used');
	};

	const port: WorkerPort = {
		start: unused,
		stop: unused,
		throttle: unused,
		async renewLease({acknowledgedSequence}) {
			calls += 1;
			if (calls > MAX_CALLS) {
				return new Promise(() => {
					// Never responds.
				});
			}

			return {
				outcome: 'accepted',
				clockMs: Math.round(performance.now()),
				running: [],
				ended: listEnds(acknowledgedSequence),
			};
		},
		close() {
			// The scripted worker has no connections.
		},
	};
	const link = createWorkerLink({
		context: {connectWorker: () => port, log: createSilentLog(), metrics: createMetrics(), bounds: BOUNDS},
		worker: newWorker('w1'),
		token: 1,
		clocks: createClocks(),
		earlierLeasesEndMs: 0,
		mayOrder: () => true,
		events: {
			onReport() {
				// Only calls and ends are checked.
			},
			onProgress() {
				// Progress is not polled.
			},
			async onEnds() {
				// Stored at once.
			},
			onGone(_link, workerEnd) {
				ends.push(workerEnd);
			},
			onStaleToken() {
				t.fail('there is no newer token');
			},
			renewalWaitMs: () => 2000,
			hasWork: () => true,
			onSilent() {
				// No start is late.
			},
		},
	});
	return {link, ends, calls: () => calls};
};

// Guards against a renewal loop that takes the whole processor: its next turn depends on a response that comes at once.
await t.test('a worker that responds at once with nothing new is asked a few times a second', async (t) => {
	const clock = FakeTimers.install({now: 1000});
	const controller = new AbortController();
	const {link, calls} = createScriptedLink(() => []);
	const running = link.run(controller.signal);
	await clock.tickAsync(5000);
	t.ok(calls() > 5, 'its lease is renewed');
	t.ok(calls() <= MAX_RENEWALS, `${calls()} calls in 5 s`);
	controller.abort();
	await clock.tickAsync(5000);
	await running;
	clock.uninstall();
});

// Guards against the same loop when a worker lists ends that it was told to forget: they are those of its next incarnation.
await t.test('ends with acknowledged numbers end the link instead of being dropped', async (t) => {
	const clock = FakeTimers.install({now: 1000});
	const controller = new AbortController();
	let listed = [newEnd(1), newEnd(2)];
	const {link, ends, calls} = createScriptedLink((acknowledgedSequence) => {
		listed = listed.filter(({sequence}) => sequence > acknowledgedSequence);
		return listed;
	});
	const running = link.run(controller.signal);
	await clock.tickAsync(1000);
	t.same(ends, [], 'ends that are not acknowledged yet may be repeated');
	t.same(listed, [], 'the ends are acknowledged');
	// Only the next incarnation has acknowledged nothing.
	listed = [newEnd(1, 'j.0.0.9')];
	await clock.tickAsync(3000);
	t.match(ends, [{reason: 'renumbered'}]);
	t.ok(calls() <= MAX_RENEWALS, `${calls()} calls in 5 s`);
	controller.abort();
	await clock.tickAsync(5000);
	await running;
	clock.uninstall();
});

// Guards against an acknowledgement that makes the next incarnation forget an end that no leader has read: before the
// first ends are acknowledged, only what they name tells the two apart.
await t.test('another end under a number that was reported before ends the link', async (t) => {
	const clock = FakeTimers.install({now: 1000});
	const controller = new AbortController();
	let reports = 0;
	const {link, ends} = createScriptedLink(() => {
		reports += 1;
		return reports === 1 ? [newEnd(1)] : [newEnd(1, 'j.0.0.9')];
	});
	const running = link.run(controller.signal);
	await clock.tickAsync(3000);
	t.match(ends, [{reason: 'renumbered'}]);
	controller.abort();
	await clock.tickAsync(5000);
	await running;
	clock.uninstall();
});

// Guards against work that never ends: the ends of the next incarnation were dropped unread while it ran on its worker.
await t.test('a worker without start times that has started again under its id is used again', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: 3000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (let id = 1; id <= 4; id += 1) {
		await submitStep(scheduler.jobs, id, STEP);
	}

	await cluster.clock.tickAsync(5000);
	await submitStep(scheduler.jobs, 5, STEP);
	await cluster.clock.tickAsync(1000);
	cluster.crashWorker('w1', true);
	await cluster.clock.tickAsync(WORKER_RESTART_MS + 45_000);
	t.same(cluster.violations, []);
	for (let id = 1; id <= 5; id += 1) {
		t.equal(await scheduler.jobs.state(addressOf(id)), 'completed', `job ${id}`);
		t.equal(cluster.startsOf(unitOf(id)), id === 5 ? 2 : 1, `starts of job ${id}`);
	}
});
