import {fitsShare, isAdmitted, type Demand} from './demand.js';
import type {PassState} from './pass-state.js';
import {reservedBlockUse} from './runs.js';

/** Explains why a demand has no free run: the first cause that excludes every run. */
export const waitReason = (state: PassState, demand: Demand): string => {
	const {accelerators} = demand.job;
	let isAvailable = false;
	let isInShare = false;
	let isOutsideOtherBlocks = false;
	for (const rack of state.usableRacks) {
		const isRackInShare = fitsShare(state, rack.fleetRack.rack.pool, demand);
		for (const start of rack.fleetRack.starts(accelerators)) {
			let isRunAvailable = true;
			const last = rack.fleetRack.workerOfCell[start + accelerators - 1]!;
			for (let worker = rack.fleetRack.workerOfCell[start]!; worker <= last; worker += 1) {
				isRunAvailable &&= isAdmitted(rack, worker, demand);
			}

			if (isRunAvailable) {
				isAvailable = true;
				const use = reservedBlockUse(state, {rack, start}, demand);
				isInShare ||= isRackInShare || use?.ownBlock !== -1;
				isOutsideOtherBlocks ||= use !== undefined;
			}
		}

		if (isAvailable && isInShare && isOutsideOtherBlocks) {
			return `no rack has ${accelerators} adjacent accelerators free now`;
		}
	}

	if (!isAvailable) {
		return 'the workers that match it are down, quarantined or failed it before';
	}

	return isOutsideOtherBlocks
		? `the share of partner ${demand.customer.partner} is in use by work that can't be evicted`
		: 'all matching accelerators are in blocks reserved for other customers, which the job may not borrow';
};
