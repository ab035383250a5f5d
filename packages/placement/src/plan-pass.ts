import type {JobRecord} from '@bergamotgauge/model';
import {CLAIMS, evictionFor, GUARANTEE_CLAIM, URGENT_CLAIM, type Claim} from './claims.js';
import {EVICTION_SEARCH_LIMIT, RESERVATION_LIMIT} from './constants.js';
import {mayBorrow, type Demand} from './demand.js';
import {graceMs, type Eviction} from './eviction.js';
import {bestFreeRun, holdEndMs} from './free-run.js';
import type {Eligibility} from './fleet.js';
import {planHomes} from './homes.js';
import {add, createPassState, occupy, type PassState} from './pass-state.js';
import {planMoves} from './moves.js';
import {createDemand, createQueue} from './queue.js';
import {earliestRun, reserve} from './reservation.js';
import {SCORES} from './scores/index.js';
import type {Decision, EvictDecision, PassOptions, PlaceDecision, PlacementView, Score} from './types.js';
import {blocksOf, homeUse, type Run} from './windows.js';
import {waitReason} from './wait-reason.js';

type Pass = {
	readonly state: PassState;
	readonly scores: readonly Score[];
	/** Smallest end for which the search of a free run failed, by demand; free runs only become fewer in a pass. */
	readonly failures: Map<Eligibility, Map<string, number>>;
	readonly reasons: Map<Eligibility, Map<string, string>>;
	reservations: number;
	searches: number;
	readonly evicted: Set<string>;
};

/** Demands with the same key and eligibility find the same free runs; only homes tell the customers of a partner apart. */
const demandKey = ({homesByCustomer}: PassState, demand: Demand): string => {
	const {job, jobClass, isPreemptible, customer} = demand;
	const owner = homesByCustomer.has(customer.name) ? `customer ${customer.name}` : customer.partner;
	return `${job.accelerators}/${isPreemptible}/${jobClass.retryRule}/${mayBorrow(demand)}/${owner}`;
};

const placement = (pass: Pass, demand: Demand, {rack, start}: Run): PlaceDecision => {
	const {state} = pass;
	const {job} = demand;
	const {ownHome} = homeUse(state, {rack, start}, demand)!;
	const home = ownHome === -1 ? undefined : state.homes[ownHome];
	const {name} = rack.fleetRack.rack;
	const use = home ? `home ${home.index} of guarantee ${home.guarantee}` : `${job.accelerators} adjacent accelerators`;
	return {
		kind: 'place',
		rack: name,
		placement: {
			job: job.id,
			attempt: job.attempt,
			customer: job.customer,
			jobClass: job.jobClass,
			...(home && {guarantee: home.guarantee, homeIndex: home.index}),
			blocks: blocksOf(rack.fleetRack, start, job.accelerators),
			preemptible: demand.isPreemptible,
			phase: 'placed',
			placedAtMs: state.view.nowMs,
			expectedEndMs: state.view.nowMs + Math.round(demand.estimate.expectedSeconds * 1000),
		},
		reason: `${use} ${home ? 'is' : 'are'} free in rack ${name}`,
	};
};

const tryFree = (pass: Pass, demand: Demand): PlaceDecision | undefined => {
	const {state, failures} = pass;
	const isMemoized = demand.job.failedOn.length === 0;
	const known = failures.get(demand.eligibility) ?? new Map<string, number>();
	failures.set(demand.eligibility, known);
	const key = demandKey(pass.state, demand);
	const endMs = holdEndMs(state, demand);
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

	const decision = placement(pass, demand, run);
	occupy(state, run.rack.fleetRack.index, decision.placement, {job: demand.job, isNew: true});
	return decision;
};

const evictions = (pass: Pass, demand: Demand, {name}: Claim, eviction: Eviction) => {
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
				reason: `gives way to job ${demand.job.id} of customer ${demand.customer.name} by ${name}`,
			});
		}
	}

	reserve(pass.state, demand.job.id, demand.job.accelerators, {run: eviction.run, readyMs});
	return decisions;
};

const tryEvict = (pass: Pass, demand: Demand): readonly Decision[] | undefined => {
	for (const claim of CLAIMS) {
		const isBounded = claim !== GUARANTEE_CLAIM && claim !== URGENT_CLAIM;
		if ((isBounded && pass.searches >= EVICTION_SEARCH_LIMIT) || !claim.applies(pass.state, demand)) {
			continue;
		}

		pass.searches += isBounded ? 1 : 0;
		const eviction = evictionFor(pass.state, demand, claim);
		if (eviction) {
			const {name} = eviction.run.rack.fleetRack.rack;
			return [
				...evictions(pass, demand, claim, eviction),
				{
					kind: 'wait',
					job: demand.job.id,
					reason: `rack ${name} is being cleared for it by ${claim.name}: ${eviction.victims.length} jobs give way`,
				},
			];
		}
	}

	return undefined;
};

const wait = (pass: Pass, demand: Demand): Decision => {
	const {state} = pass;
	const known = pass.reasons.get(demand.eligibility) ?? new Map<string, string>();
	pass.reasons.set(demand.eligibility, known);
	const key = demandKey(pass.state, demand);
	const isMemoized = demand.job.failedOn.length === 0;
	const reason = (isMemoized ? known.get(key) : undefined) ?? waitReason(state, demand);
	if (isMemoized) {
		known.set(key, reason);
	}

	if (pass.reservations < RESERVATION_LIMIT) {
		const reservation = earliestRun(state, demand);
		if (reservation) {
			pass.reservations += 1;
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
	reservations: 0,
	searches: 0,
	evicted: new Set(),
});

const decide = (pass: Pass, demand: Demand): readonly Decision[] => {
	const {customer, job} = demand;
	if (!isWithinQuota(pass, demand)) {
		return [{kind: 'wait', job: job.id, reason: `the quota of customer ${customer.name} is in use`}];
	}

	const placed = tryFree(pass, demand);
	if (placed) {
		return [placed];
	}

	const evicting = tryEvict(pass, demand);
	if (evicting) {
		// Counted as held, so that several claims in one pass don't exceed the quota together.
		add(pass.state.heldByCustomer, customer.name, job.accelerators);
		return evicting;
	}

	return [wait(pass, demand)];
};

/**
Decides what to do with the queued jobs: changes of homes first, then one decision for each job that is not placed yet, preceded by the evictions it needs.

@example
```ts
for (const decision of planPass(view)) {
	await applyDecision(decision);
}
```
*/
export const planPass = (view: PlacementView, options: PassOptions = {}): readonly Decision[] => {
	const homePlan = planHomes(view);
	const state = createPassState(view, homePlan.homes);
	const {queue, decided} = createQueue(state, options);
	const pass = createPass(state, options);
	const decisions: Decision[] = [...homePlan.decisions, ...decided];
	for (const demand of queue) {
		decisions.push(...decide(pass, demand));
	}

	decisions.push(...planMoves(state, pass.evicted));
	return decisions;
};

/**
Indexes a view once and then decides on single new jobs, at a cost that doesn't grow with the queue. Each call sees the placements of the calls before it, and keeps what the first jobs of the queue wait for. It is valid until the view changes; the next full pass decides on all jobs again.

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
	const homePlan = planHomes(view);
	const state = createPassState(view, homePlan.homes);
	const pass = createPass(state, options);
	for (const ahead of createQueue(state, options).queue.slice(0, RESERVATION_LIMIT)) {
		const reservation = isWithinQuota(pass, ahead) ? earliestRun(state, ahead) : undefined;
		if (reservation) {
			reserve(state, ahead.job.id, ahead.job.accelerators, reservation);
		}
	}

	// Changes of homes are left to the full pass; until then an arrival waits for any of them.
	const isSettled = homePlan.decisions.length === 0;
	return (job) => {
		if (!isSettled) {
			return [{kind: 'wait', job: job.id, reason: 'homes of guarantees change in the next pass'}];
		}

		const demand = createDemand(state, options, job);
		return 'kind' in demand ? [demand] : decide(pass, demand);
	};
};
