import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {Placement} from './active-job.js';
import {THROTTLE_INTERVAL_MS} from './throttle-constants.js';
import {createLeaderState, placedByWorker} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';
import {BOUNDS} from './test/cluster.js';
import {createThrottler} from './throttler.js';

const WORKER = 'w1';
const TARGET_MS = 100;

/** Runs a throttler for a time beside a latency-sensitive unit that is far below its target; `reportAt` says whether the worker reports in a pass. Returns the last CPU share that was ordered. */
const lastPercent = (lengthMs: number, reportAt: (nowMs: number) => boolean): number => {
	const state = createLeaderState(DEFAULT_POLICY);
	const serving = newActiveJob({
		id: '0000000000000001',
		steps: [newStep({longRunning: true, tailTargetMs: TARGET_MS})],
	});
	const bestEffort = newActiveJob({id: '0000000000000002', steps: [newStep({usesLeftover: true})]});
	const servingPlacement: Placement = newPlacementOn(WORKER, {percent: 100, recentFigure: 20});
	for (const [activeJob, placement] of [
		[serving, servingPlacement],
		[bestEffort, newPlacementOn(WORKER)],
	] as const) {
		[...activeJob.parts.values()][0]!.placements = [placement];
		state.activeJobs.set(activeJob.job.id, activeJob);
	}

	let nowMs = 0;
	let last = 100;
	const throttler = createThrottler({
		state,
		placements: {
			throttle(_activeJob, _part, placement, percent) {
				placement.throttlePercent = percent;
				last = percent;
			},
		},
		bounds: BOUNDS,
		now: () => nowMs,
	});
	state.placementIndex.byWorker = placedByWorker(state);
	for (; nowMs < lengthMs; nowMs += THROTTLE_INTERVAL_MS) {
		if (reportAt(nowMs)) {
			servingPlacement.reportedMs = nowMs;
		}

		throttler.pass();
	}

	return last;
};

await t.test('the CPU share is raised while reports show response times below the target', async (t) => {
	t.equal(
		lastPercent(10_000, () => true),
		100,
	);
});

// Guards against best-effort units that get their full CPU share back on one old report, while the latency-sensitive unit
// may be over its target.
await t.test('the CPU share is not raised while the worker does not report', async (t) => {
	t.ok(lastPercent(10_000, (nowMs) => nowMs < 1000) <= 80);
});
