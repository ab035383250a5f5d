import type {Demand} from './demand.js';
import type {PassState} from './pass-state.js';
import {forEachRun, homeUse, isRunAdmitted, type Run} from './windows.js';
import {occupantsOf} from './eviction.js';

export type Reservation = Readonly<{run: Run; readyMs: number}>;

/** Finds the run that is expected to be free first, outside the reservations of jobs ahead. */
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
				if (rack.hold[cell] !== -1) {
					return;
				}

				const occupant = rack.occupant[cell]!;
				readyMs = occupant === -1 ? readyMs : Math.max(readyMs, state.held[occupant]!.endMs);
				if (readyMs >= (best?.readyMs ?? Number.POSITIVE_INFINITY)) {
					return;
				}
			}

			if (homeUse(state, run, demand) && isRunAdmitted(state, run, demand, occupantsOf(run, accelerators))) {
				best = {run, readyMs};
			}
		},
	);
	return best;
};

/** Keeps a run for a job; others may use it only when they end before `readyMs`. */
export const reserve = (state: PassState, job: string, accelerators: number, {run, readyMs}: Reservation): void => {
	const index = state.holds.length;
	state.holds.push({job, readyMs});
	run.rack.hold.fill(index, run.start, run.start + accelerators);
};
