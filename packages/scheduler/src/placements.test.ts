import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {partOf} from './active-job.js';
import {createLeaderState, placedByWorker} from './leader-state.js';
import {createPlacements} from './placements.js';
import {DEFAULT_POLICY} from './policy.js';
import {newActiveJob} from './test/active-job.js';
import {BOUNDS, newWorker} from './test/cluster.js';
import type {RunningUnit} from './types.js';
import {createUnitEnds} from './unit-ends.js';
import {createStartWindow} from './start-window.js';
import {createViewAges} from './view-ages.js';
import type {WorkerLink} from './worker-link-types.js';
import type {OrderResult} from './worker-orders.js';

const createFixture = (t: Test) => {
	const clock = FakeTimers.install({now: 1_000_000});
	const controller = new AbortController();
	t.teardown(async () => {
		controller.abort();
		await clock.tickAsync(5000);
		clock.uninstall();
	});
	const now = () => performance.now();
	const state = createLeaderState(DEFAULT_POLICY);
	const activeJob = newActiveJob({steps: [newStep()]});
	state.activeJobs.set(activeJob.job.id, activeJob);
	const part = partOf(activeJob, 0, 0, 0)!;
	const unit = `${activeJob.job.id}.0.0.0`;
	const startResults: Array<(result: OrderResult) => void> = [];
	/** Checks of the starts, in order, that are made before each attempt. */
	const wantedChecks: Array<() => boolean> = [];
	const views = {areRecent: true};
	const stops: number[] = [];
	/** CPU share of the unit on its worker. */
	const worker = {percent: 100, lateThrottles: 0};
	const newLink = (id: string): WorkerLink => ({
		worker: newWorker(id),
		state: () => 'synced',
		start: async (_order, isWanted) =>
			new Promise((resolve) => {
				startResults.push(resolve);
				wantedChecks.push(isWanted);
			}),
		async stop(_unit, run) {
			stops.push(run);
			return true;
		},
		async pollProgress() {
			// The stub has nothing to report.
		},
		async throttle({percent}) {
			const isUncertain = worker.lateThrottles > 0;
			if (worker.lateThrottles > 0) {
				// The first attempt gets no response and is carried out late; the second one is accepted.
				worker.lateThrottles -= 1;
				setTimeout(() => {
					worker.percent = percent;
				}, 3000);
			}

			worker.percent = percent;
			return {outcome: 'accepted', isUncertain};
		},
		wake() {
			// The stub renews no lease.
		},
		async run() {
			// The stub renews no lease.
		},
		expiryMs: () => Number.POSITIVE_INFINITY,
		silentSinceMs: () => undefined,
		lastReplyMs: () => undefined,
		startedMs: () => undefined,
		hasListedAll: () => true,
		confirmedMs: () => 0,
		readdress() {
			// The stub is called nowhere.
		},
		replace() {
			// The stub has one incarnation.
		},
	});
	const links = {w1: newLink('w1'), w2: newLink('w2')};
	for (const id of ['w1', 'w2']) {
		state.directory.set(id, newWorker(id));
	}

	state.links.set('w1', links.w1);
	state.links.set('w2', links.w2);
	const placements = createPlacements({
		state,
		ages: createViewAges(now),
		mayStart: () => views.areRecent,
		startWindow: createStartWindow(() => {}),
		term: 1,
		bounds: BOUNDS,
		log: createSilentLog(),
		metrics: createMetrics(),
		now,
		signal: controller.signal,
		onCapacityFreed() {
			// No planner runs.
		},
		store: async () => true,
		storeLater() {
			// Nothing is stored.
		},
		onRefused() {
			// No planner runs.
		},
		ticketOf: () => undefined,
	});
	const ends = createUnitEnds({state, placements, term: 1, log: createSilentLog(), metrics: createMetrics(), now});
	const index = () => {
		state.placementIndex.byWorker = placedByWorker(state);
	};

	const listed = (run: number): RunningUnit => ({unit, run, checkpoint: '', percent: 10});
	return {
		clock,
		now,
		activeJob,
		part,
		unit,
		startResults,
		wantedChecks,
		views,
		stops,
		worker,
		links,
		placements,
		ends,
		index,
		listed,
	};
};

// Guards against a unit that is started elsewhere although its worker has reported the run: an attempt at the start got
// no response, and the repeated one was refused.
await t.test('a refused repeat of a start does not outweigh a report that lists the run', async (t) => {
	const {clock, now, activeJob, part, startResults, links, placements, index, listed} = createFixture(t);
	placements.start(activeJob, part, ['w1']);
	index();
	await clock.tickAsync(100);
	placements.reconcile(links.w1, [listed(1)], {sentMs: now(), composedMs: now(), listsAllEnds: true});
	startResults[0]!({outcome: 'refused', reason: 'unhealthy'});
	await clock.tickAsync(100);
	t.equal(part.placements.length, 1);
});

// Guards against the stop of a new run because of a report that is older than the end of the run before.
await t.test('a report that is overtaken by a newer one does not bring back an ended run', async (t) => {
	const {clock, now, activeJob, part, unit, startResults, stops, links, placements, ends, index, listed} =
		createFixture(t);
	placements.start(activeJob, part, ['w1']);
	startResults[0]!({outcome: 'accepted', isUncertain: false});
	await clock.tickAsync(500);
	const sentMs = now();
	await clock.tickAsync(100);
	ends.handle(links.w1, {sequence: 1, unit, run: 1, how: 'failed', checkpoint: ''});
	placements.start(activeJob, part, ['w2']);
	startResults[1]!({outcome: 'accepted', isUncertain: false});
	index();
	await clock.tickAsync(100);
	placements.reconcile(links.w1, [listed(1)], {sentMs, composedMs: now(), listsAllEnds: true});
	await clock.tickAsync(100);
	t.same(stops, []);
	t.same(
		part.placements.map(({run, phase}) => [run, phase]),
		[[2, 'running']],
	);
});

// Guards against the loss of the newer run's work when an older run of its unit is found.
await t.test('an older run is stopped without stopping the newest one', async (t) => {
	const {clock, now, activeJob, part, startResults, stops, links, placements, index, listed} = createFixture(t);
	part.orderedRun = 1;
	placements.start(activeJob, part, ['w2']);
	startResults[0]!({outcome: 'accepted', isUncertain: false});
	index();
	await clock.tickAsync(100);
	placements.reconcile(links.w1, [listed(1)], {sentMs: now(), composedMs: now(), listsAllEnds: true});
	await clock.tickAsync(100);
	t.same(stops, [1]);
});

// Guards against a throttle that stays wrong on its worker after an older order was carried out late.
await t.test('a throttle order that is carried out late is corrected', async (t) => {
	const {clock, activeJob, part, startResults, worker, placements} = createFixture(t);
	placements.start(activeJob, part, ['w1']);
	startResults[0]!({outcome: 'accepted', isUncertain: false});
	await clock.tickAsync(100);
	const placement = part.placements[0]!;
	worker.lateThrottles = 1;
	placements.throttle(activeJob, part, placement, 50);
	await clock.tickAsync(600);
	placements.throttle(activeJob, part, placement, 0);
	await clock.tickAsync(10_000);
	t.ok(placement.throttlePercent === undefined || worker.percent === placement.throttlePercent, `${worker.percent}`);
});

// Guards against repeats of a start that rest on views which have become outdated since the first attempt.
await t.test('a start is not wanted any more when the views are outdated', async (t) => {
	const {activeJob, part, wantedChecks, views, placements} = createFixture(t);
	placements.start(activeJob, part, ['w1']);
	t.ok(wantedChecks[0]!());
	views.areRecent = false;
	t.notOk(wantedChecks[0]!());
});
