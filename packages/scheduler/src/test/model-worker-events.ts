import type {EndedUnit, StartOrder} from '../types.js';

/** Events on a worker, for tests that record them. */
export type WorkerEvents = Readonly<{
	onStart: (order: StartOrder) => void;
	onEnd: (end: EndedUnit) => void;
	/** Called when the ends up to the sequence are acknowledged, with the new ones after which the lease has not expired. */
	onAcknowledged: (sequence: number, ends: readonly EndedUnit[]) => void;
	/** Called when the unit crashes the worker. */
	onCrash: (unit: string) => void;
}>;

export const NO_EVENTS: WorkerEvents = {
	onStart() {
		// Most tests inspect the worker itself.
	},
	onEnd() {
		// Not needed by most tests.
	},
	onAcknowledged() {
		// Not needed by most tests.
	},
	onCrash() {
		// Units that crash their worker need a cluster that restarts it.
	},
};
