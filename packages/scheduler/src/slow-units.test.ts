import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {partOf, type ActiveJob} from './active-job.js';
import {createLeaderState, type LeaderState} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {extendWindow, openWindow, projectedRunMs} from './progress-window.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';
import {isSlowWorker, unitSpeed, type UnitSpeed} from './slow-units.js';

/** A gang with one unit per worker at the given percentages, one second after the start. */
const newGang = (
	percents: readonly number[],
	estimateMs: number,
): Readonly<{state: LeaderState; activeJob: ActiveJob}> => {
	const activeJob = newActiveJob({steps: [newStep({count: percents.length, gang: true, estimateMs})]});
	const part = partOf(activeJob, 0, 0, 0)!;
	part.placements = percents.map((percent, index) =>
		newPlacementOn(`w${index}`, {
			index,
			percent,
			progressMs: 1000,
			reportedMs: 1000,
			window: {base: {atMs: 0, percent: 0}, newest: {atMs: 1000, percent}},
		}),
	);
	const state = createLeaderState(DEFAULT_POLICY);
	state.activeJobs.set(activeJob.job.id, activeJob);
	return {state, activeJob};
};

const speedOf = ({state, activeJob}: ReturnType<typeof newGang>, index: number): UnitSpeed | undefined => {
	const part = partOf(activeJob, 0, 0, 0)!;
	return unitSpeed(state, {activeJob, part, placement: part.placements[index]!});
};

const speed = (ratio: number, isCompared = false): UnitSpeed => ({
	ratio,
	expectedMs: 2500,
	projectedMs: 2500 * ratio,
	isCompared,
});

await t.test('the speed of a run comes from its recent reports', async (t) => {
	let window = openWindow({atMs: 0, percent: 0});
	for (let atMs = 500; atMs <= 5000; atMs += 500) {
		// Slow for three seconds, then at full speed.
		window = extendWindow(window, {atMs, percent: atMs <= 3000 ? atMs / 500 : 6 + (atMs - 3000) / 40});
	}

	t.ok(projectedRunMs(window) < 4500, 'the slow start is out of the window');
});

// Guards against a slow worker going undetected because of a wrong estimate, when one worker in ten slows down gangs
// that span several workers.
await t.test('a unit is compared with the others of its step', async (t) => {
	const gang = newGang([40, 42, 5], 60_000);
	t.ok(speedOf(gang, 2)!.ratio > 5);
	t.ok(speedOf(gang, 2)!.isCompared);
	t.ok(speedOf(gang, 0)!.ratio < 1.5, 'a wrong estimate does not make the others slow');
});

// Guards against workers being taken for slow when a whole gang is slow, since its members wait for each other.
await t.test('units that are equally slow are not slow compared with each other', async (t) => {
	t.ok(speedOf(newGang([3, 3, 3], 1000), 0)!.ratio < 1.5);
});

// Guards against a fast worker that is taken for slow, because the gang of its unit also runs on a slow one.
await t.test('a gang is compared at the speed of its slowest worker', async (t) => {
	const gang = newGang([50, 50, 50], 1000);
	for (let run = 0; run < 8; run += 1) {
		for (const [workerId, runMs] of [
			['w0', 670],
			['w1', 1820],
			['w2', 1000],
			['w3', 1000],
		] as const) {
			gang.state.workerSpeeds.observe({workerId, runMs, expectedMs: 1000, compared: 8});
		}
	}

	t.ok(gang.state.workerSpeeds.runFactorOf('w0') < 0.8);
	t.ok(speedOf(gang, 0)!.ratio < 1.5, `${speedOf(gang, 0)!.ratio}`);
});

await t.test('a unit without other units of its step is compared with its estimate', async (t) => {
	t.match(speedOf(newGang([4], 4000), 0), {isCompared: false});
	t.ok(speedOf(newGang([4], 4000), 0)!.ratio > 4);
});

await t.test('a worker is slow by one comparison or two estimates, but not with a unit at normal speed', async (t) => {
	t.equal(isSlowWorker([{jobId: 'a', speed: speed(4, true)}]), true);
	t.equal(isSlowWorker([{jobId: 'a', speed: speed(4)}]), false, 'one estimate may be wrong');
	t.equal(
		isSlowWorker([
			{jobId: 'a', speed: speed(4)},
			{jobId: 'a', speed: speed(4)},
		]),
		false,
	);
	t.equal(
		isSlowWorker([
			{jobId: 'a', speed: speed(4)},
			{jobId: 'b', speed: speed(3)},
		]),
		true,
	);
	t.equal(
		isSlowWorker([
			{jobId: 'a', speed: speed(4, true)},
			{jobId: 'b', speed: speed(1.1)},
		]),
		false,
	);
});
