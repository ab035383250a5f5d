import {newJob, newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import type {Job} from '@bergamotgauge/jobs';
import t from 'tap';
import type {PlanPart} from '../plan/types.js';
import {rankOf} from '../rank.js';
import {newPlanPart, newPlanView, newPlanWorker} from '../test/plan-view.js';
import {CAPACITY_WINDOW_MS, DEMAND_MAX_AGE_MS, VALUE_RETRY_MAX_MS} from './constants.js';
import {createDemandObserver, leastWaitMs, type Demand} from './demand.js';
import {checkValue} from './value.js';

const WORKERS = [newPlanWorker('w1'), newPlanWorker('w2')];
const NEED = {cpuMillis: 1000, memoryMb: 100, accelerators: 1};

/** Units of one accelerator that wait, each of a second, and whose jobs can still make their objectives. */
const waiting = (count: number, change: Partial<PlanPart> = {}): readonly PlanPart[] =>
	Array.from({length: count}, (_value, index) =>
		newPlanPart(`p${index}`, {need: NEED, priority: 1, estimateMs: 1000, slackMs: 1000, ...change}),
	);

/** What a leader that has led for a while publishes, with 16 accelerators. */
const demandOf = (parts: readonly PlanPart[], workers = WORKERS): Demand | undefined => {
	const observe = createDemandObserver();
	observe({...newPlanView(workers, []), nowMs: 0});
	return observe({...newPlanView(workers, parts), nowMs: CAPACITY_WINDOW_MS + 1}).matching;
};

/** A job of one accelerator and a second, whose value ends after 12 s. */
const newClaim = (change: Partial<Job> = {}): Job =>
	newJob({priority: 1, stretch: 3, targetLatencyMs: 1000, ...change});

const check = (
	demand: Demand | undefined,
	job = newClaim(),
	change: {backlogAgeMs?: number; isGuaranteed?: boolean} = {},
) =>
	checkValue({
		job,
		backlog: {bytes: 0, limitBytes: 1e9, largestWorkers: {}, demand: demand ? {matching: demand} : {}},
		backlogAgeMs: 0,
		isGuaranteed: false,
		ownBytes: 0,
		limitBytes: 1e9,
		random: 0.5,
		...change,
	});

// Guards against a burst whose jobs all wait until they have lost their value: 640 s of work for 16 accelerators.
await t.test('a job that can only lose its value is refused at once, with the time of the drain', async (t) => {
	const refusal = check(demandOf(waiting(640)));
	t.match(refusal, {reason: 'value', code: 'overloaded', message: /wait for 40 s .* after 11 s/v});
	t.ok(refusal!.retryAfterMs! > 29_000 && refusal!.retryAfterMs! <= VALUE_RETRY_MAX_MS);
	t.notOk(check(demandOf(waiting(300))), 'the wait is not certain to be too long');
	t.notOk(check(demandOf(waiting(640)), newClaim({targetLatencyMs: 20_000})), 'the job can wait');
});

// Guards against the burst of one customer, or work of a lower priority, that gets the jobs of others refused.
await t.test('a burst refuses jobs of its own customer and of lower priorities only', async (t) => {
	const demand = demandOf(waiting(640));
	t.notOk(check(demand, newClaim({customer: 'other'})));
	t.notOk(check(demand, newClaim({priority: 0})));
	t.ok(check(demand, newClaim({customer: 'other', priority: 2})));
});

// Guards against refusals of work with terms of its own: guarantees, schedules, services that run on.
await t.test('guaranteed, scheduled and long-running jobs are not refused', async (t) => {
	const demand = demandOf(waiting(640));
	t.notOk(check(demand, newClaim(), {isGuaranteed: true}));
	t.notOk(check(demand, newClaim({schedule: {repeats: 2, firstMs: 0, intervalMs: 1000}})));
	t.notOk(check(demand, newClaim({steps: [newStep({longRunning: true})]})));
});

// Guards against refusals by a figure that no longer holds: no leader, a silent one, or one that has just taken over.
await t.test('an old or unknown demand refuses nothing', async (t) => {
	t.notOk(check(undefined));
	t.notOk(check(demandOf(waiting(640)), newClaim(), {backlogAgeMs: DEMAND_MAX_AGE_MS + 1}));
	const observe = createDemandObserver();
	t.same(observe(newPlanView(WORKERS, waiting(640))), {}, 'a new leader');
});

// Guards against a wait that counts work which does not go first: late or best-effort units, or units that fit elsewhere only.
await t.test('only work that certainly goes first counts', async (t) => {
	const claim = {...newClaim(), objectiveMs: 4000};
	const waitOf = (change: Partial<PlanPart>) => {
		const demand = demandOf([...waiting(160), ...waiting(640, change)]);
		return demand && Math.round(leastWaitMs(demand, claim) / 1000);
	};

	t.equal(waitOf({}), 50);
	const late = {priority: 1, objectiveMs: 4000, ageMs: 5000, slackMs: -1, isLongRunning: false};
	t.equal(waitOf({slackMs: -1, rank: rankOf(late)}), 10, 'late work');
	t.equal(waitOf({rank: rankOf({...late, ageMs: 13_000})}), 10, 'work without value');
	t.equal(waitOf({isBestEffort: true}), 10);
	t.equal(waitOf({isLongRunning: true}), 10);
	t.equal(waitOf({slackMs: 9000}), 10, 'a later objective');
	t.equal(waitOf({need: {...NEED, accelerators: 8}}), 10, 'larger units leave gaps');
	t.equal(waitOf({requiredLabel: 'c'}), 10, 'units that need other workers');
	t.equal(demandOf(waiting(16)), undefined, 'a short wait is not published');
});

// Guards against a pause of workers that is taken for missing room, and an outage that is not noticed.
await t.test('room that is away for long reduces the capacity', async (t) => {
	const observe = createDemandObserver();
	const half = [WORKERS[0]!, newPlanWorker('w2', {isUsable: false})];
	observe({...newPlanView(WORKERS, []), nowMs: 0});
	const at = (nowMs: number) => observe({...newPlanView(half, waiting(640)), nowMs}).matching;
	t.match(at(CAPACITY_WINDOW_MS), undefined);
	t.match(at(CAPACITY_WINDOW_MS + 1), {capacity: {accelerators: 8}});
	const recovering = createDemandObserver();
	recovering({...newPlanView(half, []), nowMs: 0});
	recovering({...newPlanView(WORKERS, []), nowMs: CAPACITY_WINDOW_MS});
	const paused = recovering({...newPlanView(half, waiting(640)), nowMs: CAPACITY_WINDOW_MS + 100});
	t.match(paused.matching, {capacity: {accelerators: 16}});
});
