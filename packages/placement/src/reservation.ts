import type {Demand} from './demand.js';
import type {PassState} from './pass-state.js';
import {forEachRun, isRunAdmitted, reservedBlockUse, type Run} from './runs.js';
import {occupantsOf} from './eviction.js';

/** A run to reserve for a waiting job, and the time at which all of it is expected to be free. */
export type Reservation = Readonly<{run: Run; readyMs: number}>;

/** Finds the run that is expected to be free first, outside the reservations of jobs earlier in the queue. */
export const earliestRun = (state: PassState, demand: Demand): Reservation | undefined => {
	const {accelerators} = demand.job;
	let best: Reservation | undefined;
	forEachRun(
		state,
		demand,
		() => true,
		(run) => {
			const {rack, start} = run;
			let readyMs = state.view.nowMs;
			for (let cell = start; cell < start + accelerators; cell += 1) {
				if (rack.reservation[cell] !== -1) {
					return;
				}

				const occupant = rack.occupant[cell]!;
				readyMs = occupant === -1 ? readyMs : Math.max(readyMs, state.held[occupant]!.endMs);
				if (readyMs >= (best?.readyMs ?? Number.POSITIVE_INFINITY)) {
					return;
				}
			}

			if (reservedBlockUse(state, run, demand) && isRunAdmitted(state, run, demand, occupantsOf(run, accelerators))) {
				best = {run, readyMs};
			}
		},
	);
	return best;
};

/** Reserves a run for a job; others may backfill it only when they end by `readyMs`. */
export const reserve = (state: PassState, job: string, accelerators: number, {run, readyMs}: Reservation): void => {
	const index = state.reservations.length;
	state.reservations.push({job, readyMs});
	run.rack.reservation.fill(index, run.start, run.start + accelerators);
};
