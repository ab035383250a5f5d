import {
	GAIN_REMAINING_RATIO,
	GAIN_WAIT_RATIO,
	MAX_RESERVATION_DELAY_SECONDS,
	MIN_RUN_BEFORE_EVICTION_SECONDS,
} from './constants.js';
import {shareExcess, type Demand} from './demand.js';
import {cheapestEviction, evictionCost, type Eviction, type VictimRule} from './eviction.js';
import {acceleratorsOf, forEachCell, type HeldPlacement, type PassState, type RackState} from './pass-state.js';
import {reservedBlockUse, type Run} from './runs.js';

/** A rule by which a waiting job may evict others. */
export type PreemptionRule = Readonly<{
	name: string;
	/** Whether the rule applies to the waiting job at all. */
	applies: (state: PassState, demand: Demand) => boolean;
	isVictim: (state: PassState, demand: Demand) => VictimRule;
	isRunConsidered?: (state: PassState, demand: Demand) => (run: Run) => boolean;
	/** Largest loss that the rule accepts. */
	maxLostAcceleratorSeconds?: (demand: Demand) => number;
}>;

const waitedSeconds = (state: PassState, {job}: Demand): number => (state.view.nowMs - job.submittedAtMs) / 1000;

const isOwner = (held: HeldPlacement, demand: Demand): boolean => held.placement.customer === demand.customer.name;

const hasOwnWork = (state: PassState, rack: RackState, reservedBlock: number): boolean => {
	let isFound = false;
	forEachCell(rack.fleetRack, state.reservedBlocks[reservedBlock]!.blocks, (cell) => {
		const occupant = rack.occupant[cell]!;
		isFound ||=
			occupant !== -1 && state.held[occupant]!.placement.customer === state.reservedBlocks[reservedBlock]!.customer;
	});
	return isFound;
};

/** The owner reclaims its reserved block. A job smaller than half of the block does so only when it is urgent, has waited long, or work of the owner is in the block already. */
export const GUARANTEE_RULE: PreemptionRule = {
	name: 'guarantee',
	applies: (state, demand) =>
		state.reservedBlocksByCustomer.get(demand.customer.name)?.some(({size}) => size >= demand.job.accelerators) ??
		false,
	isVictim: (_state, demand) => (held) =>
		!isOwner(held, demand) || (held.placement.guarantee === undefined && held.accelerators < demand.job.accelerators),
	isRunConsidered: (state, demand) => (run) => {
		const ownBlock = reservedBlockUse(state, run, demand)?.ownBlock ?? -1;
		return (
			ownBlock !== -1 &&
			(demand.job.accelerators * 2 >= acceleratorsOf(state.reservedBlocks[ownBlock]!.blocks) ||
				demand.jobClass.urgency === 'urgent' ||
				waitedSeconds(state, demand) >= MAX_RESERVATION_DELAY_SECONDS ||
				hasOwnWork(state, run.rack, ownBlock))
		);
	},
};

export const URGENT_RULE: PreemptionRule = {
	name: 'urgency',
	applies: (_state, {jobClass}) => jobClass.urgency === 'urgent',
	isVictim: () => (held) => held.isBorrowed,
};

/** A partner below its share of a pool evicts work of partners above theirs. */
export const SHARE_RULE: PreemptionRule = {
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

const canCheckpoint = (state: PassState, held: HeldPlacement): boolean =>
	(held.jobClass?.checkpointSeconds ?? 0) > 0 &&
	state.view.nowMs - held.placement.placedAtMs >= MIN_RUN_BEFORE_EVICTION_SECONDS * 1000;

const expectedWork = ({job, estimate}: Demand): number => job.accelerators * estimate.expectedSeconds;

/** Limits the delay of a reservation when work overran an estimate that was too low. */
export const DELAY_RULE: PreemptionRule = {
	name: 'bounded delay',
	applies: (state, demand) => waitedSeconds(state, demand) >= MAX_RESERVATION_DELAY_SECONDS,
	isVictim: (state, demand) => (held) =>
		held.isBorrowed &&
		canCheckpoint(state, held) &&
		(held.job === undefined ||
			held.job.submittedAtMs > demand.job.submittedAtMs ||
			held.accelerators < demand.job.accelerators),
	maxLostAcceleratorSeconds: (demand) => expectedWork(demand) * 0.1,
};

/** A short job evicts long ones that can checkpoint when that saves more time than it costs. */
export const GAIN_RULE: PreemptionRule = {
	name: 'gain',
	applies: (state, demand) => waitedSeconds(state, demand) >= GAIN_WAIT_RATIO * demand.estimate.expectedSeconds,
	isVictim: (state, demand) => (held) =>
		held.isBorrowed &&
		canCheckpoint(state, held) &&
		held.endMs - state.view.nowMs >= GAIN_REMAINING_RATIO * 1000 * demand.estimate.expectedSeconds,
	maxLostAcceleratorSeconds: (demand) => expectedWork(demand) * 0.05,
};

/** In order of precedence. */
export const PREEMPTION_RULES: readonly PreemptionRule[] = [
	URGENT_RULE,
	GUARANTEE_RULE,
	SHARE_RULE,
	DELAY_RULE,
	GAIN_RULE,
];

export const evictionFor = (state: PassState, demand: Demand, rule: PreemptionRule): Eviction | undefined => {
	if (!rule.applies(state, demand)) {
		return undefined;
	}

	const eviction = cheapestEviction(state, demand, {
		cost: evictionCost(state, rule.isVictim(state, demand), demand.jobClass.urgency === 'urgent'),
		isRunConsidered: rule.isRunConsidered?.(state, demand),
		isInOwnBlock: rule === GUARANTEE_RULE,
	});
	return eviction &&
		eviction.lostAcceleratorSeconds <= (rule.maxLostAcceleratorSeconds?.(demand) ?? Number.POSITIVE_INFINITY)
		? eviction
		: undefined;
};
