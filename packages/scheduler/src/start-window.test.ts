/** Pattern: a wave of starts. Hundreds of units become ready at once, at a burst of submissions or after a takeover. */
import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {
	ORDER_DEADLINES_MS,
	START_PENDING_MS,
	START_WINDOW_INITIAL,
	START_WINDOW_MAX,
	START_WINDOW_MIN,
} from './constants.js';
import {createStartWindow, type StartWindow} from './start-window.js';
import {createTestCluster, newWorker, QUEUE, unitOf} from './test/cluster.js';

const ignore = () => {};

/** Sends as many of the waiting starts as the window has room for, on a processor that takes the time for each; returns the time that the last response waits. */
const sendRound = (
	startWindow: StartWindow,
	waiting: number,
	costMs: number,
): Readonly<{sent: number; delayMs: number}> => {
	const sent: Array<() => void> = [];
	while (sent.length < waiting && startWindow.hasRoom(1)) {
		sent.push(startWindow.open());
	}

	const delayMs = sent.length * costMs;
	startWindow.observeDelay(delayMs);
	for (const settle of sent) {
		settle();
	}

	return {sent: sent.length, delayMs};
};

// Guards against a leader that holds up its own event loop with starts until their responses are read too late, and then
// sends them again.
await t.test('no response of a wave of starts waits as long as the deadline of an order', async (t) => {
	for (const costMs of [0.5, 1, 2, 5, 10]) {
		const startWindow = createStartWindow(ignore);
		let waiting = 2000;
		let longestMs = 0;
		while (waiting > 0) {
			const {sent, delayMs} = sendRound(startWindow, waiting, costMs);
			waiting -= sent;
			longestMs = Math.max(longestMs, delayMs);
		}

		t.ok(longestMs < ORDER_DEADLINES_MS[0], `a start takes ${costMs} ms, the longest wait ${longestMs} ms`);
	}
});

// Guards against a fast leader that is held back by a limit made for a slow one.
await t.test('the window grows while the loop is on time', async (t) => {
	const startWindow = createStartWindow(ignore);
	let rounds = 0;
	for (let waiting = 500; waiting > 0; rounds += 1) {
		waiting -= sendRound(startWindow, waiting, 0.1).sent;
	}

	t.ok(rounds <= 6, `500 starts in ${rounds} rounds of responses`);
	t.ok(startWindow.size() <= START_WINDOW_MAX);
});

// Guards against a window that shrinks until nothing is started, and against a gang that is larger than the window.
await t.test('a window has a least size, and a gang larger than it is started alone', async (t) => {
	const startWindow = createStartWindow(ignore);
	for (let index = 0; index < 20; index += 1) {
		startWindow.observeDelay(1000);
	}

	t.equal(startWindow.size(), START_WINDOW_MIN);
	t.ok(startWindow.hasRoom(64), 'nothing else is pending');
	const settle = startWindow.open();
	t.notOk(startWindow.hasRoom(64));
	settle();
	settle();
	t.ok(startWindow.hasRoom(64));
});

const WORKERS = Array.from({length: 20}, (_value, index) => newWorker(`w${index}`));
const STEP = newStep({count: 150, cpuMillis: 4000, accelerators: 1, estimateMs: 10_000});
const CONNECTION_WAIT_MS = 100;

// Guards against starts that wait in a queue of calls, where more urgent work cannot come before them.
await t.test('a start that is held back stays in the plan, and urgent work comes before it', async (t) => {
	const cluster = createTestCluster(t, WORKERS, () => ({runMs: 10_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (const {faults} of cluster.workers.values()) {
		faults.connectionWaitMs = CONNECTION_WAIT_MS;
	}

	await scheduler.jobs.submit({queue: QUEUE, customer: 'acme', submission: newSubmission(1, [STEP])});
	await cluster.clock.tickAsync(CONNECTION_WAIT_MS + 50);
	const countStarts = (): number => [...cluster.workers.values()].reduce((sum, {starts}) => sum + starts.size, 0);
	t.ok(countStarts() <= START_WINDOW_INITIAL, `${countStarts()} starts in the first round`);
	await scheduler.jobs.submit({
		queue: {...QUEUE, name: 'urgent', priority: 0},
		customer: 'acme',
		submission: newSubmission(2, [newStep({count: 4, cpuMillis: 4000, accelerators: 1, estimateMs: 1000})]),
	});
	await cluster.clock.tickAsync(2 * CONNECTION_WAIT_MS + 50);
	t.equal(cluster.startsOf(unitOf(2)), 1, 'the urgent job has started');
	t.ok(countStarts() < STEP.count, 'the other job has not started all of its units');
	await cluster.clock.tickAsync(2000);
	t.equal(countStarts(), STEP.count + 4);
	t.same(cluster.violations, []);
});

// Guards against silent workers that hold back the starts on all others, since each order is repeated for over two seconds.
await t.test('starts on silent workers do not hold back the others for long', async (t) => {
	const cluster = createTestCluster(t, WORKERS, () => ({runMs: 10_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const models = [...cluster.workers.values()];
	for (const {faults} of models.slice(0, 10)) {
		faults.patterns.start = ['dropped'];
		faults.responseLossMs = 10_000;
	}

	await scheduler.jobs.submit({queue: QUEUE, customer: 'acme', submission: newSubmission(1, [STEP])});
	// The silent workers hold 80 of the 150 units.
	await cluster.clock.tickAsync(4 * START_PENDING_MS);
	const started = models.slice(10).reduce((sum, {starts}) => sum + starts.size, 0);
	t.ok(started >= 70, `${started} starts on the workers that respond`);
});
