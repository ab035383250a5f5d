import type {CrashedRun} from '@bergamotgauge/jobs';
import t from 'tap';
import type {Part} from './active-job.js';
import {hasReachedCrashLimit, isCrashSuspect, outlastsCrashes, recordCrash, suspectsOf} from './crash-evidence.js';
import {createLeaderState, type PlacedUnit} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';

const CRASH_MS = 60_000;

const crashOf = (run: number, change: Partial<CrashedRun> = {}): CrashedRun => ({
	run,
	ranMs: 10,
	suspicion: 'certain',
	...change,
});

/** A unit of a job of its own that has run on the worker for the time before the crash. */
const placeUnit = (workerId: string, ranMs: number, crashes: readonly CrashedRun[] = []): PlacedUnit => {
	const activeJob = newActiveJob();
	const part = [...activeJob.parts.values()][0]!;
	const placement = newPlacementOn(workerId, {startedMs: CRASH_MS - ranMs, run: crashes.length + 1});
	part.placements = [placement];
	part.crashes = crashes;
	return {activeJob, part, placement};
};

const crashWith = (placed: readonly PlacedUnit[], crashTimes: ReadonlyArray<readonly [string, number]> = []) => {
	const state = createLeaderState(DEFAULT_POLICY);
	for (const [id, ms] of crashTimes) {
		state.crashTimes.set(id, ms);
	}

	return suspectsOf(state, {workerId: 'w1', lastReplyMs: CRASH_MS, silentSinceMs: CRASH_MS, placed});
};

// Guards against blame for units that had run beside the cause for long.
await t.test('units that had just started are the suspects', async (t) => {
	const [cause, twin, neighbour] = [placeUnit('w1', 10), placeUnit('w1', 500), placeUnit('w1', 9000)];
	t.same(
		crashWith([cause, twin, neighbour]).map(({part, crash}) => [part === neighbour.part, crash.suspicion]),
		[
			[false, 'likely'],
			[false, 'likely'],
		],
	);
	t.same(
		crashWith([cause, neighbour]).map(({crash}) => crash.suspicion),
		['certain'],
	);
});

// Guards against a cause that is never counted, because a suspect by mistake beside it gets the blame each time.
await t.test('units beside a known suspect are counted with less suspicion', async (t) => {
	const suspects = crashWith([placeUnit('w1', 10, [crashOf(1)]), placeUnit('w1', 10)]);
	t.same(
		suspects.map(({crash}) => crash.suspicion),
		['likely', 'possible'],
	);
	const weak = crashOf(1, {suspicion: 'likely'});
	t.same(
		crashWith([placeUnit('w1', 10, [weak]), placeUnit('w1', 10)]).map(({crash}) => crash.suspicion),
		['likely', 'likely'],
	);
});

// Guards against blame for the loss of a rack: units that had run for long on one of many crashed workers are not suspects.
await t.test('crashes of several workers at the same time have a common cause', async (t) => {
	const others = [
		['w2', CRASH_MS - 100],
		['w3', CRASH_MS + 100],
	] as const;
	t.same(crashWith([placeUnit('w1', 9000)], others), []);
	t.same(
		crashWith([placeUnit('w1', 10)], others).map(({crash}) => crash.suspicion),
		['possible'],
	);
	t.equal(crashWith([placeUnit('w1', 9000)], [others[0]]).length, 1, 'two workers are not many');
});

// Guards against two counts for one crash, when a gang has members on several crashed workers.
await t.test('a run counts once', async (t) => {
	const {part} = placeUnit('w1', 10);
	t.ok(recordCrash(part, crashOf(1), 0));
	t.notOk(recordCrash(part, crashOf(1), 0));
	t.equal(part.crashes.length, 1);
});

// Guards against a sixth start of a unit that crashes its workers, whatever else crashes, and against a limit that is reached without a certain crash.
await t.test('the limit depends on how likely the crashes have the unit as their cause', async (t) => {
	const partWith = (...suspicions: ReadonlyArray<CrashedRun['suspicion']>): Pick<Part, 'crashes'> => ({
		crashes: suspicions.map((suspicion, index) => crashOf(index + 1, {suspicion})),
	});
	t.ok(hasReachedCrashLimit(partWith('likely', 'certain', 'certain')));
	t.notOk(hasReachedCrashLimit(partWith('certain', 'certain', 'possible')));
	t.ok(hasReachedCrashLimit(partWith('certain', 'certain', 'possible', 'possible')));
	t.notOk(hasReachedCrashLimit(partWith('possible', 'possible', 'possible', 'possible')));
	t.ok(hasReachedCrashLimit(partWith('possible', 'possible', 'possible', 'possible', 'possible')));
	t.notOk(isCrashSuspect(partWith('possible', 'possible')));
	t.ok(isCrashSuspect(partWith('possible', 'possible', 'possible')));
	t.ok(isCrashSuspect(partWith('likely')));
});

// Guards against counts that add up over the life of a long-running unit.
await t.test('a run that goes on for much longer than the crashed ones ends the suspicion', async (t) => {
	const part = {crashes: [crashOf(1, {ranMs: 3000})]};
	t.notOk(outlastsCrashes(part, 6000));
	t.ok(outlastsCrashes(part, 7001));
	t.notOk(outlastsCrashes({crashes: []}, 7001));
});
