import {fitsShare, isAdmitted, type Demand} from './demand.js';
import type {PassState} from './pass-state.js';
import {homeUse} from './windows.js';

/** Says why a demand has no free run: the first cause that excludes every run. */
export const waitReason = (state: PassState, demand: Demand): string => {
	const {accelerators} = demand.job;
	let isAvailable = false;
	let isInShare = false;
	let isOutsideHomes = false;
	for (const rack of state.usableRacks) {
		const isShared = fitsShare(state, rack.fleetRack.rack.pool, demand);
		for (const start of rack.fleetRack.starts(accelerators)) {
			let isRunAvailable = true;
			const last = rack.fleetRack.workerOfCell[start + accelerators - 1]!;
			for (let worker = rack.fleetRack.workerOfCell[start]!; worker <= last; worker += 1) {
				isRunAvailable &&= isAdmitted(rack, worker, demand);
			}

			if (isRunAvailable) {
				isAvailable = true;
				const use = homeUse(state, {rack, start}, demand);
				isInShare ||= isShared || use?.ownHome !== -1;
				isOutsideHomes ||= use !== undefined;
			}
		}

		if (isAvailable && isInShare && isOutsideHomes) {
			return `no rack has ${accelerators} adjacent accelerators free now`;
		}
	}

	if (!isAvailable) {
		return 'the workers that match it are down, quarantined or failed it before';
	}

	return isOutsideHomes
		? `the share of partner ${demand.customer.partner} is in use by work that can't be evicted`
		: 'all matching accelerators are in homes of other customers, which the job may not borrow';
};
