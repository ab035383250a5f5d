import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t, {type Test} from 'tap';
import {ORDER_DEADLINES_MS} from './constants.js';
import {JOBS_PREFIX} from './keys.js';
import {maxViewAgeMs} from './start-guard.js';
import {addressOf, BOUNDS, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';
import type {CallOutcome} from './test/model-worker-faults.js';
import {createRecordedLog} from './test/recorded-log.js';

const GANG = newStep({count: 2, gang: true, accelerators: 8, estimateMs: 3000});
const MEMBERS = new Set([unitOf(2, 0), unitOf(2, 1)]);

/** Time of the test at which the accelerators that the gang waits for become free. */
const FREED_MS = 6000;

/** Time that all attempts at the start of one member take, with a margin for the stop of the others. */
const MAX_INCOMPLETE_MS = ORDER_DEADLINES_MS.reduce((sum, deadlineMs) => sum + deadlineMs, 100);

const STEP_MS = 50;

/** Two workers that a gang needs whole, while unit 1 occupies one of them; the clock is at 1 s. */
const startWithWaitingGang = async (t: Test) => {
	const {log, lines} = createRecordedLog();
	const cluster = createTestCluster(
		t,
		[newWorker('w1'), newWorker('w2')],
		(unit) => ({runMs: unit === unitOf(1) ? FREED_MS - 500 : 3000, how: 'done'}),
		{log, acceleratorsOf: () => 8},
	);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({accelerators: 8}));
	await submitStep(scheduler.jobs, 2, GANG);
	await cluster.clock.tickAsync(500);
	t.equal(cluster.startsOf(unitOf(1)), 1);

	const workers = [...cluster.workers.values()];
	const runningMembers = () => workers.flatMap(({running}) => running()).filter(({unit}) => MEMBERS.has(unit)).length;

	/** Longest time for which one member has run without the other one. */
	let incompleteMs = 0;
	let sinceMs = 0;
	const advance = async (lengthMs: number) => {
		for (let passedMs = 0; passedMs < lengthMs; passedMs += STEP_MS) {
			await cluster.clock.tickAsync(STEP_MS);
			sinceMs = runningMembers() === 1 ? sinceMs + STEP_MS : 0;
			incompleteMs = Math.max(incompleteMs, sinceMs);
		}
	};

	return {cluster, scheduler, lines, workers, advance, runningMembers, incompleteMs: () => incompleteMs};
};

// Guards against members of a gang that run on without one whose start was withdrawn, against accelerators that such a start
// keeps, and against its repeats on the outdated view.
for (const outcome of ['dropped', 'unsent'] satisfies CallOutcome[]) {
	await t.test(`a gang of which one start is ${outcome} and then withdrawn runs whole or not at all`, async (t) => {
		const withdrawals: boolean[] = [];
		// The watch falls silent at different times before the gang can start, so that in some of the cases the age of the view
		// passes its limit between two attempts.
		for (let silentMs = 800; silentMs <= 1600; silentMs += 50) {
			await t.test(`silent from ${silentMs} ms before the gang can start`, async (t) => {
				const gang = await startWithWaitingGang(t);
				const {cluster, scheduler, lines, workers, advance, runningMembers} = gang;
				await advance(FREED_MS - 1000 - silentMs);
				const {faults} = workers[1]!;
				faults.responseLossMs = 10_000;
				faults.patterns.start = [outcome];
				cluster.store.faults.silentWatches.add(JOBS_PREFIX);
				cluster.store.silenceWatches(JOBS_PREFIX);
				const silentAtMs = performance.now();
				await advance(silentMs + 2500);
				const sentMs = workers
					.flatMap(({calls}) => calls)
					.filter(({kind, unit = ''}) => kind === 'start' && MEMBERS.has(unit))
					.map(({atMs}) => atMs);
				const start = lines.find(({event, fields}) => event === 'part-start' && fields.job === addressOf(2).id);
				const firstAgeMs = Number(start?.fields.jobsAgeMs);
				const agesMs = sentMs.map((atMs) => firstAgeMs + atMs - Math.min(...sentMs));
				t.ok(
					agesMs.every((ageMs) => ageMs <= maxViewAgeMs(BOUNDS.cancellationMs)),
					`ages of the view at the starts: ${agesMs.join(', ')} ms`,
				);
				const failures = lines.filter(({event}) => event === 'unit-start-failed').length;
				const unanswered = lines.filter(({event}) => event === 'order-unanswered').length;
				withdrawals.push(unanswered < failures * ORDER_DEADLINES_MS.length);
				t.equal(runningMembers(), 0, 'no member runs on');

				faults.patterns.start = [];
				cluster.store.faults.silentWatches.clear();
				await advance(2000);
				t.equal(runningMembers(), 2, 'the gang runs whole');
				t.ok(gang.incompleteMs() <= MAX_INCOMPLETE_MS, `incomplete for ${gang.incompleteMs()} ms`);
				await submitStep(scheduler.jobs, 3, GANG);
				await advance(8000);
				t.equal(await scheduler.jobs.state(addressOf(2)), 'completed');
				t.equal(await scheduler.jobs.state(addressOf(3)), 'completed', 'another gang gets the accelerators');
				t.same(cluster.violations, []);
			});
		}

		t.ok(withdrawals.includes(true), 'some of the starts were withdrawn after an attempt');
	});
}
