import {
	GAIN_REMAINING_RATIO,
	GAIN_WAIT_RATIO,
	MAX_RESERVATION_DELAY_SECONDS,
	MIN_RUN_BEFORE_EVICTION_SECONDS,
} from './constants.js';
import {shareExcess, type Demand} from './demand.js';
import {cheapestEviction, evictionCost, type Eviction, type VictimRule} from './eviction.js';
import {acceleratorsOf, forEachCell, type Held, type PassState, type RackState} from './pass-state.js';
import {homeUse, type Run} from './windows.js';

/** A reason for which a waiting job may evict others. */
export type Claim = Readonly<{
	name: string;
	/** Whether the claim applies at all. */
	applies: (state: PassState, demand: Demand) => boolean;
	isVictim: (state: PassState, demand: Demand) => VictimRule;
	isRunConsidered?: (state: PassState, demand: Demand) => (run: Run) => boolean;
	/** Largest loss for which the claim is worth its cost. */
	maxLost?: (demand: Demand) => number;
}>;

const waitedSeconds = (state: PassState, {job}: Demand): number => (state.view.nowMs - job.submittedAtMs) / 1000;

const isOwner = (held: Held, demand: Demand): boolean => held.placement.customer === demand.customer.name;

const hasOwnWork = (state: PassState, rack: RackState, home: number): boolean => {
	let isFound = false;
	forEachCell(rack.fleetRack, state.homes[home]!.blocks, (cell) => {
		const occupant = rack.occupant[cell]!;
		isFound ||= occupant !== -1 && state.held[occupant]!.placement.customer === state.homes[home]!.customer;
	});
	return isFound;
};

/** The owner takes its home back. A job much smaller than the home takes it only when it must. */
export const GUARANTEE_CLAIM: Claim = {
	name: 'guarantee',
	applies: (state, demand) =>
		state.homesByCustomer.get(demand.customer.name)?.some(({size}) => size >= demand.job.accelerators) ?? false,
	isVictim: (_state, demand) => (held) =>
		!isOwner(held, demand) || (held.placement.guarantee === undefined && held.accelerators < demand.job.accelerators),
	isRunConsidered: (state, demand) => (run) => {
		const home = homeUse(state, run, demand)?.ownHome ?? -1;
		return (
			home !== -1 &&
			(demand.job.accelerators * 2 >= acceleratorsOf(state.homes[home]!.blocks) ||
				demand.jobClass.urgency === 'urgent' ||
				waitedSeconds(state, demand) >= MAX_RESERVATION_DELAY_SECONDS ||
				hasOwnWork(state, run.rack, home))
		);
	},
};

export const URGENT_CLAIM: Claim = {
	name: 'urgency',
	applies: (_state, {jobClass}) => jobClass.urgency === 'urgent',
	isVictim: () => (held) => held.isBorrowed,
};

/** A partner below its share of a pool takes back what a partner above its share holds. */
export const SHARE_CLAIM: Claim = {
	name: 'partner share',
	applies: (state, {customer, job}) =>
		[...state.fleet.pools.values()].some(
			({name}) =>
				shareExcess(state, name, customer.partner) < 0 &&
				shareExcess(state, name, customer.partner) + job.accelerators <= 0,
		),
	isVictim: (state, demand) => (held, rack) => {
		const {pool} = rack.fleetRack.rack;
		const partner = state.fleet.customers.get(held.placement.customer)?.partner ?? '';
		return (
			held.isBorrowed &&
			partner !== demand.customer.partner &&
			shareExcess(state, pool, partner) > 0 &&
			shareExcess(state, pool, demand.customer.partner) + demand.job.accelerators <= 0
		);
	},
};

const canCheckpoint = (state: PassState, held: Held): boolean =>
	(held.jobClass?.checkpointSeconds ?? 0) > 0 &&
	state.view.nowMs - held.placement.placedAtMs >= MIN_RUN_BEFORE_EVICTION_SECONDS * 1000;

const work = ({job, estimate}: Demand): number => job.accelerators * estimate.expectedSeconds;

/** Bounds how long wrong estimates delay a reservation. */
export const DELAY_CLAIM: Claim = {
	name: 'bounded delay',
	applies: (state, demand) => waitedSeconds(state, demand) >= MAX_RESERVATION_DELAY_SECONDS,
	isVictim: (state, demand) => (held) =>
		held.isBorrowed &&
		canCheckpoint(state, held) &&
		(held.job === undefined ||
			held.job.submittedAtMs > demand.job.submittedAtMs ||
			held.accelerators < demand.job.accelerators),
	maxLost: (demand) => work(demand) * 0.1,
};

/** A short job goes before long ones that can checkpoint when that gains more time than it costs. */
export const GAIN_CLAIM: Claim = {
	name: 'gain',
	applies: (state, demand) => waitedSeconds(state, demand) >= GAIN_WAIT_RATIO * demand.estimate.expectedSeconds,
	isVictim: (state, demand) => (held) =>
		held.isBorrowed &&
		canCheckpoint(state, held) &&
		held.endMs - state.view.nowMs >= GAIN_REMAINING_RATIO * 1000 * demand.estimate.expectedSeconds,
	maxLost: (demand) => work(demand) * 0.05,
};

/** In order of precedence. */
export const CLAIMS: readonly Claim[] = [URGENT_CLAIM, GUARANTEE_CLAIM, SHARE_CLAIM, DELAY_CLAIM, GAIN_CLAIM];

export const evictionFor = (state: PassState, demand: Demand, claim: Claim): Eviction | undefined => {
	if (!claim.applies(state, demand)) {
		return undefined;
	}

	const eviction = cheapestEviction(state, demand, {
		cost: evictionCost(state, claim.isVictim(state, demand), demand.jobClass.urgency === 'urgent'),
		isRunConsidered: claim.isRunConsidered?.(state, demand),
		isInOwnHome: claim === GUARANTEE_CLAIM,
	});
	return eviction && eviction.lostAcceleratorSeconds <= (claim.maxLost?.(demand) ?? Number.POSITIVE_INFINITY)
		? eviction
		: undefined;
};
