import type {JobRecord} from '@bergamotgauge/model';
import {CLAIMS, evictionFor, GUARANTEE_CLAIM, URGENT_CLAIM, type Claim} from './claims.js';
import {EVICTION_SEARCH_LIMIT, RESERVATION_LIMIT} from './constants.js';
import {isPreemptibleClass, type Demand} from './demand.js';
import {endOfJob} from './ended-jobs.js';
import {graceMs, type Eviction} from './eviction.js';
import {bestFreeRun, holdEndMs} from './free-run.js';
import type {Eligibility} from './fleet.js';
import {planHomes} from './homes.js';
import {responseRatioOrder} from './order.js';
import {add, createPassState, occupy, type PassState} from './pass-state.js';
import {earliestRun, reserve} from './reservation.js';
import {correctedEstimate} from './run-times.js';
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

const quarantinedWorkers = (view: PlacementView): Set<string> => {
	const workers = new Set<string>();
	for (const {quarantines} of view.racks.values()) {
		for (const {worker, state} of quarantines) {
			if (state === 'quarantined') {
				workers.add(worker);
			}
		}
	}

	return workers;
};

const demandKey = ({job, jobClass, isPreemptible, customer}: Demand): string =>
	`${job.accelerators}/${isPreemptible}/${jobClass.retryRule}/${jobClass.checkpointSeconds > 0}/${customer.name}`;

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
	const key = demandKey(demand);
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

const evictions = (pass: Pass, demand: Demand, {name, isUrgent}: Claim, eviction: Eviction) => {
	const decisions: EvictDecision[] = [];
	let readyMs = pass.state.view.nowMs;
	for (const held of eviction.victims) {
		const grace = graceMs(pass.state, held, isUrgent);
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
		if (!claim.applies(pass.state, demand) || (isBounded && pass.searches >= EVICTION_SEARCH_LIMIT)) {
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
	const key = demandKey(demand);
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

const decide = (pass: Pass, demand: Demand): readonly Decision[] => {
	const {customer, job} = demand;
	if ((pass.state.heldByCustomer.get(customer.name) ?? 0) + job.accelerators > customer.quota.accelerators) {
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

/** Urgent work first, then work with a home of its own, so that no borrower takes a home in the same pass. */
const tierOf = (state: PassState, demand: Demand): number => {
	if (demand.jobClass.urgency === 'urgent') {
		return 2;
	}

	return state.homes.length > 0 && GUARANTEE_CLAIM.applies(state, demand) ? 1 : 0;
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
	const {order = responseRatioOrder, estimate = correctedEstimate(view.runTimes), scores = SCORES} = options;
	const homePlan = planHomes(view);
	const decisions: Decision[] = [...homePlan.decisions];
	const state = createPassState(view, homePlan.homes);
	const quarantined = quarantinedWorkers(view);
	const queue: Array<{demand: Demand; tier: number; position: number}> = [];
	const demandOf = (job: JobRecord): Demand | Decision => {
		const jobClass = state.fleet.classes.get(job.jobClass);
		const customer = state.fleet.customers.get(job.customer);
		if (!jobClass || !customer) {
			return {kind: 'wait', job: job.id, reason: 'its class or its customer is no longer declared'};
		}

		const ended = endOfJob(job, jobClass, quarantined, view.nowMs);
		if (ended) {
			return ended;
		}

		const estimated = estimate(job);
		const heldAccelerators = state.heldByCustomer.get(job.customer) ?? 0;
		return {
			job,
			jobClass,
			customer,
			estimate: estimated,
			isPreemptible: isPreemptibleClass(jobClass),
			eligibility: state.fleet.eligibility(job),
			rank: order({job, jobClass, customer, estimate: estimated, heldAccelerators}, view.nowMs),
		};
	};

	for (const [position, job] of view.jobs.entries()) {
		if (job.state !== 'queued' || state.heldByJob.has(job.id)) {
			continue;
		}

		const demand = demandOf(job);
		if ('kind' in demand) {
			decisions.push(demand);
		} else {
			queue.push({demand, tier: tierOf(state, demand), position});
		}
	}

	queue.sort((a, b) => b.tier - a.tier || b.demand.rank - a.demand.rank || a.position - b.position);
	const pass: Pass = {
		state,
		scores,
		failures: new Map(),
		reasons: new Map(),
		reservations: 0,
		searches: 0,
		evicted: new Set(),
	};
	for (const {demand} of queue) {
		decisions.push(...decide(pass, demand));
	}

	return decisions;
};
