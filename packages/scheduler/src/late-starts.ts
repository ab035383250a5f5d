import {sleep} from '@bergamotgauge/lifecycle';
import {LATE_ORDER_MS, STOP_RETRY_MS} from './constants.js';
import type {LeaderState} from './leader-state.js';
import type {WorkerLink} from './worker-link-types.js';
import type {OrderTarget} from './worker-orders.js';

/** Starts that got no response. The next incarnation of a worker knows none of the stops that followed them, so they are stopped there again. */
export type LateStarts = Readonly<{
	record: (workerId: string, target: OrderTarget) => void;
	/** Stops the recorded starts on the incarnation of the link, which then refuses them. */
	stop: (link: WorkerLink) => void;
}>;

/** Creates the late starts of a term. */
export const createLateStarts = ({
	state,
	now,
	signal,
}: Readonly<{state: LeaderState; now: () => number; signal: AbortSignal}>): LateStarts => {
	const pendingOn = (workerId: string) => (state.lateStarts.get(workerId) ?? []).filter(({untilMs}) => untilMs > now());

	const stopOn = async (link: WorkerLink, {unit, run}: OrderTarget, untilMs: number) => {
		while (!signal.aborted && link.state() !== 'gone' && now() < untilMs && !(await link.stop(unit, run))) {
			await sleep(STOP_RETRY_MS, signal);
		}
	};

	return {
		record(workerId, target) {
			state.lateStarts.set(workerId, [...pendingOn(workerId), {...target, untilMs: now() + LATE_ORDER_MS}]);
		},
		stop(link) {
			for (const lateStart of pendingOn(link.worker.id)) {
				void stopOn(link, lateStart, lateStart.untilMs);
			}
		},
	};
};
