import type {JobRecord} from '@bergamotgauge/model';
import {evictionFor, GUARANTEE_RULE, PREEMPTION_RULES, URGENT_RULE, type PreemptionRule} from './preemption-rules.js';
import {EVICTION_SEARCH_LIMIT, RESERVATION_LIMIT} from './constants.js';
import {mayBorrow, type Demand} from './demand.js';
import {graceMs, type Eviction} from './eviction.js';
import {bestFreeRun, backfillEndMs} from './free-run.js';
import type {Eligibility} from './fleet.js';
import {planReservedBlocks} from './reserved-blocks.js';
import {addToCount, createPassState, occupy, type PassState} from './pass-state.js';
import {planMoves} from './moves.js';
import {createDemand, createQueue} from './queue.js';
import {earliestRun, reserve} from './reservation.js';
import {SCORES} from './scores/index.js';
import type {Decision, EvictDecision, PassOptions, PlaceDecision, PlacementView, Score} from './types.js';
import {blocksOf, reservedBlockUse, type Run} from './runs.js';
import {waitReason} from './wait-reason.js';

type Pass = {
	readonly state: PassState;
	readonly scores: readonly Score[];
	/** Earliest end for which the search for a free run failed, by demand. A later search with the same or a later end can be skipped, because free runs only become fewer during a pass. */
	readonly failures: Map<Eligibility, Map<string, number>>;
	/** Wait reasons by demand, so that equal demands compute them once. */
	readonly reasons: Map<Eligibility, Map<string, string>>;
	reservationCount: number;
	/** Eviction searches that count towards the limit. */
	searchCount: number;
	/** Jobs evicted in this pass. */
	readonly evicted: Set<string>;
};

/** Demands with the same key and eligibility find the same free runs. Customers of one partner differ only by their reserved blocks. */
const demandKey = ({reservedBlocksByCustomer}: PassState, demand: Demand): string => {
	const {job, jobClass, isPreemptible, customer} = demand;
	const reservedBlockOwner = reservedBlocksByCustomer.has(customer.name)
		? `customer ${customer.name}`
		: customer.partner;
	return `${job.accelerators}/${isPreemptible}/${jobClass.retryRule}/${mayBorrow(demand)}/${reservedBlockOwner}`;
};

const placeDecision = (pass: Pass, demand: Demand, {rack, start}: Run): PlaceDecision => {
	const {state} = pass;
	const {job} = demand;
	const {ownBlock} = reservedBlockUse(state, {rack, start}, demand)!;
	const reservedBlock = ownBlock === -1 ? undefined : state.reservedBlocks[ownBlock];
	const {name} = rack.fleetRack.rack;
	const use = reservedBlock
		? `reserved block ${reservedBlock.index} of guarantee ${reservedBlock.guarantee}`
		: `${job.accelerators} adjacent accelerators`;
	return {
		kind: 'place',
		rack: name,
		placement: {
			job: job.id,
			attempt: job.attempt,
			customer: job.customer,
			jobClass: job.jobClass,
			...(reservedBlock && {guarantee: reservedBlock.guarantee, homeIndex: reservedBlock.index}),
			blocks: blocksOf(rack.fleetRack, start, job.accelerators),
			preemptible: demand.isPreemptible,
			phase: 'placed',
			placedAtMs: state.view.nowMs,
			expectedEndMs: state.view.nowMs + Math.round(demand.estimate.expectedSeconds * 1000),
		},
		reason: `${use} ${reservedBlock ? 'is' : 'are'} free in rack ${name}`,
	};
};

const tryPlace = (pass: Pass, demand: Demand): PlaceDecision | undefined => {
	const {state, failures} = pass;
	const isMemoized = demand.job.failedOn.length === 0;
	const known = failures.get(demand.eligibility) ?? new Map<string, number>();
	failures.set(demand.eligibility, known);
	const key = demandKey(pass.state, demand);
	const endMs = backfillEndMs(state, demand);
	if (isMemoized && endMs >= (known.get(key) ?? Number.POSITIVE_INFINITY)) {
		return undefined;
	}

	const run = bestFreeRun(state, demand, pass.scores);
	if (!run) {
		if (isMemoized) {
			known.set(key, endMs);
		}

		return undefined;
	}

	const decision = placeDecision(pass, demand, run);
	occupy(state, run.rack.fleetRack.index, decision.placement, {job: demand.job, isNew: true});
	return decision;
};

const evictVictims = (pass: Pass, demand: Demand, {name}: PreemptionRule, eviction: Eviction) => {
	const isUrgent = demand.jobClass.urgency === 'urgent';
	const decisions: EvictDecision[] = [];
	let readyMs = pass.state.view.nowMs;
	for (const held of eviction.victims) {
		const grace = graceMs(held, isUrgent);
		readyMs = Math.max(readyMs, pass.state.view.nowMs + grace);
		if (held.placement.phase === 'placed' && !pass.evicted.has(held.placement.job)) {
			pass.evicted.add(held.placement.job);
			decisions.push({
				kind: 'evict',
				rack: pass.state.racks[held.rack]!.fleetRack.rack.name,
				job: held.placement.job,
				graceMs: grace,
				reason: `evicted for job ${demand.job.id} of customer ${demand.customer.name} by rule ${name}`,
			});
		}
	}

	reserve(pass.state, demand.job.id, demand.job.accelerators, {run: eviction.run, readyMs});
	return decisions;
};

const tryEvict = (pass: Pass, demand: Demand): readonly Decision[] | undefined => {
	for (const rule of PREEMPTION_RULES) {
		const isSearchLimited = rule !== GUARANTEE_RULE && rule !== URGENT_RULE;
		if ((isSearchLimited && pass.searchCount >= EVICTION_SEARCH_LIMIT) || !rule.applies(pass.state, demand)) {
			continue;
		}

		pass.searchCount += isSearchLimited ? 1 : 0;
		const eviction = evictionFor(pass.state, demand, rule);
		if (eviction) {
			const {name} = eviction.run.rack.fleetRack.rack;
			return [
				...evictVictims(pass, demand, rule, eviction),
				{
					kind: 'wait',
					job: demand.job.id,
					reason: `accelerators in rack ${name} are being freed for it by rule ${rule.name}: ${eviction.victims.length} jobs are evicted`,
				},
			];
		}
	}

	return undefined;
};

const waitDecision = (pass: Pass, demand: Demand): Decision => {
	const {state} = pass;
	const known = pass.reasons.get(demand.eligibility) ?? new Map<string, string>();
	pass.reasons.set(demand.eligibility, known);
	const key = demandKey(pass.state, demand);
	const isMemoized = demand.job.failedOn.length === 0;
	const reason = (isMemoized ? known.get(key) : undefined) ?? waitReason(state, demand);
	if (isMemoized) {
		known.set(key, reason);
	}

	if (pass.reservationCount < RESERVATION_LIMIT) {
		const reservation = earliestRun(state, demand);
		if (reservation) {
			pass.reservationCount += 1;
			reserve(state, demand.job.id, demand.job.accelerators, reservation);
			const seconds = Math.ceil((reservation.readyMs - state.view.nowMs) / 1000);
			const {name} = reservation.run.rack.fleetRack.rack;
			return {
				kind: 'wait',
				job: demand.job.id,
				reason: `${reason}; reserved in rack ${name}, expected in ${seconds} s`,
			};
		}
	}

	return {kind: 'wait', job: demand.job.id, reason};
};

const isWithinQuota = ({state}: Pass, {customer, job}: Demand): boolean =>
	(state.heldByCustomer.get(customer.name) ?? 0) + job.accelerators <= customer.quota.accelerators;

const createPass = (state: PassState, {scores = SCORES}: PassOptions): Pass => ({
	state,
	scores,
	failures: new Map(),
	reasons: new Map(),
	reservationCount: 0,
	searchCount: 0,
	evicted: new Set(),
});

const decide = (pass: Pass, demand: Demand): readonly Decision[] => {
	const {customer, job} = demand;
	if (!isWithinQuota(pass, demand)) {
		return [{kind: 'wait', job: job.id, reason: `the quota of customer ${customer.name} is in use`}];
	}

	const placed = tryPlace(pass, demand);
	if (placed) {
		return [placed];
	}

	const evicted = tryEvict(pass, demand);
	if (evicted) {
		// The accelerators count as in use, so that several evictions in one pass don't exceed the quota together.
		addToCount(pass.state.heldByCustomer, customer.name, job.accelerators);
		return evicted;
	}

	return [waitDecision(pass, demand)];
};

/**
Decides what to do with the queued jobs: changes of reserved blocks first, then one decision for each job that is not placed yet, preceded by the evictions it needs, and last the evictions for defragmentation.

@example
```ts
for (const decision of planPass(view)) {
	await applyDecision(decision);
}
```
*/
export const planPass = (view: PlacementView, options: PassOptions = {}): readonly Decision[] => {
	const blockPlan = planReservedBlocks(view);
	const state = createPassState(view, blockPlan.reservedBlocks);
	const {queue, decided} = createQueue(state, options);
	const pass = createPass(state, options);
	const decisions: Decision[] = [...blockPlan.decisions, ...decided];
	for (const demand of queue) {
		decisions.push(...decide(pass, demand));
	}

	decisions.push(...planMoves(state, pass.evicted));
	return decisions;
};

/**
Indexes a view once and then decides on single new jobs, at a cost that doesn't grow with the queue. Each call sees the placements of earlier calls and respects reservations for the first jobs in the queue. The planner is valid until the view changes; the next full pass decides on all jobs again.

@example
```ts
const planArrival = createArrivalPlanner(view);
const decisions = planArrival(job);
```
*/
export const createArrivalPlanner = (
	view: PlacementView,
	options: PassOptions = {},
): ((job: JobRecord) => readonly Decision[]) => {
	const blockPlan = planReservedBlocks(view);
	const state = createPassState(view, blockPlan.reservedBlocks);
	const pass = createPass(state, options);
	for (const earlier of createQueue(state, options).queue.slice(0, RESERVATION_LIMIT)) {
		const reservation = isWithinQuota(pass, earlier) ? earliestRun(state, earlier) : undefined;
		if (reservation) {
			reserve(state, earlier.job.id, earlier.job.accelerators, reservation);
		}
	}

	// Changes of reserved blocks are left to the full pass; until then every new job waits.
	const isUpToDate = blockPlan.decisions.length === 0;
	return (job) => {
		if (!isUpToDate) {
			return [{kind: 'wait', job: job.id, reason: 'reserved blocks of guarantees change in the next pass'}];
		}

		const demand = createDemand(state, options, job);
		return 'kind' in demand ? [demand] : decide(pass, demand);
	};
};
