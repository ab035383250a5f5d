import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {partOf, type ActiveJob} from '../active-job.js';
import {createLeaderState, runFactorOf, type LeaderState} from '../leader-state.js';
import {DEFAULT_POLICY, policyWithout} from '../policy.js';
import {unitSpeed} from '../slow-units.js';
import {newActiveJob, newPlacementOn} from '../test/active-job.js';
import {observeEnd, observeProgress, withRun} from './observe-runs.js';

const RUN_MS = 4000;

/** A job whose units run on `w0` to `w5` for `atMs`; a run takes `factors[index]` times as long as usual. */
const runJob = (state: LeaderState, factors: readonly number[], {atMs = 1500, gang = false} = {}): ActiveJob => {
	const activeJob = newActiveJob({steps: [newStep({count: factors.length, gang, estimateMs: 900})]});
	for (const [index, factor] of factors.entries()) {
		const percent = Math.floor((100 * atMs) / (RUN_MS * factor));
		const placement = newPlacementOn(`w${index}`, {
			index,
			percent,
			progressMs: atMs,
			reportedMs: atMs,
			window: {base: {atMs: 0, percent: 0}, newest: {atMs, percent}},
		});
		partOf(activeJob, 0, 0, index)!.placements.push(placement);
	}

	state.activeJobs.set(activeJob.job.id, activeJob);
	return activeJob;
};

const observeAll = (state: LeaderState, activeJob: ActiveJob) => {
	for (const part of new Set(activeJob.parts.values())) {
		for (const placement of part.placements) {
			const placed = {activeJob, part, placement};
			observeProgress(state, placed, unitSpeed(state, placed)!.projectedMs, 1500);
		}
	}
};

const FACTORS = [0.83, 0.83, 0.83, 0.83, 0.83, 1.82];

// Guards against a slow worker that is found out only by the callers' estimates, which are off by more than its slowness,
// or by a suspicion that moves its work away although it does nothing wrong.
await t.test('a worker that is slower for good is told by the units of one step on other workers', async (t) => {
	const state = createLeaderState(DEFAULT_POLICY);
	for (let job = 0; job < 4; job += 1) {
		observeAll(state, runJob(state, FACTORS));
	}

	t.ok(runFactorOf(state, 'w5') > 1.5, `${runFactorOf(state, 'w5')}`);
	t.ok(runFactorOf(state, 'w0') <= 1);
	const activeJob = runJob(state, FACTORS);
	const part = partOf(activeJob, 0, 0, 5)!;
	const speed = unitSpeed(state, {activeJob, part, placement: part.placements[0]!})!;
	t.ok(speed.ratio < 1.5, `as fast as expected of this worker: ${speed.ratio}`);
	t.ok(speed.projectedMs > 6000, 'its remaining time is the real one');
	t.equal(runFactorOf(createLeaderState(policyWithout(['worker-speeds'])), 'w5'), 1);
});

// Guards against gangs, whose members all are as slow as the slowest, and against a run that counts at each report.
await t.test('members of a gang do not count, and other runs count once', async (t) => {
	const state = createLeaderState(DEFAULT_POLICY);
	observeAll(state, runJob(state, FACTORS, {gang: true}));
	t.equal(state.workerSpeeds.estimates().size, 0);
	const activeJob = runJob(state, FACTORS);
	observeAll(state, activeJob);
	const estimate = state.workerSpeeds.estimates().get('w5');
	observeAll(state, activeJob);
	const part = partOf(activeJob, 0, 0, 5)!;
	observeEnd(state, {activeJob, part, placement: part.placements[0]!}, 7300, 7300);
	t.same(state.workerSpeeds.estimates().get('w5'), estimate);
});

// Guards against first reports, too few units and throttled ones that would count as slow workers.
await t.test('runs that show too little do not count', async (t) => {
	const state = createLeaderState(DEFAULT_POLICY);
	observeAll(state, runJob(state, [0.83, 1.82, 0.83]));
	t.equal(state.workerSpeeds.estimates().size, 0, 'two other units are too few');
	observeAll(state, runJob(state, FACTORS, {atMs: 650}));
	t.equal(state.workerSpeeds.estimates().size, 0, 'below a fifth of the run');
	t.same(withRun(withRun(undefined, 2000), 4000), {runMs: 3000, units: 2});
});
