import {sleep} from '@bergamotgauge/lifecycle';
import {LATE_ORDER_MS, STOP_RETRY_MS} from './constants.js';
import type {LateStart, LeaderState} from './leader-state.js';
import type {WorkerLink} from './worker-link-types.js';
import type {OrderTarget} from './worker-orders.js';

/** Starts that got no response. The next incarnation of a worker knows none of the stops that followed them, so they are stopped there again. */
export type LateStarts = Readonly<{
	record: (workerId: string, target: OrderTarget) => void;
	/** Stops the recorded starts on the incarnation of the link, which then refuses them. */
	stop: (link: WorkerLink) => void;
}>;

/** Starts without a response that a worker may still carry out. */
export const pendingLateStarts = ({lateStarts}: LeaderState, workerId: string, nowMs: number): readonly LateStart[] =>
	(lateStarts.get(workerId) ?? []).filter(({untilMs}) => untilMs > nowMs);

/** Creates the late starts of a term. */
export const createLateStarts = ({
	state,
	now,
	signal,
}: Readonly<{state: LeaderState; now: () => number; signal: AbortSignal}>): LateStarts => {
	const stopOn = async (link: WorkerLink, {unit, run}: OrderTarget, untilMs: number) => {
		while (!signal.aborted && link.state() !== 'gone' && now() < untilMs && !(await link.stop(unit, run))) {
			await sleep(STOP_RETRY_MS, signal);
		}
	};

	return {
		record(workerId, target) {
			state.lateStarts.set(workerId, [
				...pendingLateStarts(state, workerId, now()),
				{...target, untilMs: now() + LATE_ORDER_MS},
			]);
		},
		stop(link) {
			for (const lateStart of pendingLateStarts(state, link.worker.id, now())) {
				void stopOn(link, lateStart, lateStart.untilMs);
			}
		},
	};
};
