import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createClocks} from './clocks.js';
import {partOf} from './active-job.js';
import {createLeaderState} from './leader-state.js';
import {createPlacements} from './placements.js';
import {DEFAULT_POLICY} from './policy.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';
import {BOUNDS, newWorker} from './test/cluster.js';
import {createModelWorker} from './test/model-worker.js';
import {createStartWindow} from './start-window.js';
import {createViewAges} from './view-ages.js';
import {createWorkerLink} from './worker-link.js';

// Guards against a best-effort unit that works, and disturbs others, at a share that was replaced by a lower one.
await t.test('a throttle without a response is not sent again after a newer one', async (t) => {
	const clock = FakeTimers.install({now: 1000});
	t.teardown(() => {
		clock.uninstall();
	});
	const worker = newWorker('w1');
	const model = createModelWorker(worker, () => ({runMs: 60_000, how: 'done'}));
	const activeJob = newActiveJob({steps: [newStep({usesLeftover: true})]});
	const part = partOf(activeJob, 0, 0, 0)!;
	const placement = newPlacementOn(worker.id);
	part.placements = [placement];
	const unit = `${activeJob.job.id}.0.0.0`;
	const leaseUntilMs = model.clockMs() + BOUNDS.maxLeaseMs;
	await model.port().start({unit, run: placement.run, spec: '', leaseUntilMs, token: 1, checkpoint: ''});

	const state = createLeaderState(DEFAULT_POLICY);
	const log = createSilentLog();
	const metrics = createMetrics();
	const now = () => performance.now();
	const ignore = () => {
		// The test checks only what the worker has received.
	};

	const link = createWorkerLink({
		context: {connectWorker: model.port, log, metrics, bounds: BOUNDS},
		worker,
		token: 1,
		clocks: createClocks(),
		earlierLeasesEndMs: 0,
		mayOrder: () => true,
		events: {
			onReport: ignore,
			onProgress: ignore,
			async onEnds() {
				ignore();
			},
			onGone: ignore,
			onStaleToken: ignore,
			renewalWaitMs: () => 2000,
			hasWork: () => true,
			onSilent() {
				// No start is late.
			},
		},
	});
	state.links.set(worker.id, link);
	const placements = createPlacements({
		state,
		ages: createViewAges(now),
		mayStart: () => true,
		startWindow: createStartWindow(() => {}),
		term: 1,
		bounds: BOUNDS,
		log,
		metrics,
		now,
		signal: new AbortController().signal,
		onCapacityFreed: ignore,
		store: async () => true,
		storeLater: ignore,
		onRefused: ignore,
		ticketOf: () => undefined,
	});
	model.faults.responseLossMs = 10_000;
	model.faults.script.throttle = ['dropped'];
	placements.throttle(activeJob, part, placement, 50);
	await clock.tickAsync(100);
	placements.throttle(activeJob, part, placement, 40);
	await clock.tickAsync(1500);
	t.equal(model.throttles.get(unit), 40);
	t.equal(placement.throttlePercent, 40);
	model.crash();
});
