import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {Plan} from '../plan/types.js';
import type {HeldByPart, HeldWorkers, ReleaseReason} from './types.js';

/** The reservations of a term, which its planning passes hand on to each other. */
export type Reservations = Readonly<{
	held: () => HeldByPart;
	/** Takes over what a pass has decided. `isPending` and `isStarted` tell what became of a part that the pass did not see. */
	update: (plan: Pick<Plan, 'held' | 'released'>) => void;
	/** Ends the reservations of parts that wait no more. */
	prune: (isPending: (partId: string) => boolean, isStarted: (partId: string) => boolean) => void;
}>;

/**
Creates the reservations of a term, at first none. A line is logged when a part begins to hold workers, holds others, or gives them up.

@example
```ts
const reservations = createReservations({log, metrics, now});
reservations.update(plan({...view, held: reservations.held()}));
```
*/
export const createReservations = ({
	log,
	metrics,
	now,
}: Readonly<{log: Log; metrics: Metrics; now: () => number}>): Reservations => {
	let held: HeldByPart = new Map();
	const sinceMs = new Map<string, number>();

	const logRelease = (partId: string, reason: ReleaseReason, {evictions}: HeldWorkers) => {
		const heldMs = Math.round(now() - (sinceMs.get(partId) ?? now()));
		log.info('workers-released', {part: partId, reason, evictions, heldMs});
		metrics.count('reservations_ended_total', {reason});
		sinceMs.delete(partId);
	};

	const reportGauge = () => {
		metrics.gauge(
			'workers_held',
			[...held.values()].reduce((sum, {workerIds}) => sum + new Set(workerIds).size, 0),
		);
	};

	return {
		held: () => held,
		update(plan) {
			for (const {partId, reason} of plan.released) {
				logRelease(partId, reason, plan.held.get(partId)!);
			}

			for (const [partId, {workerIds, evictions}] of plan.held) {
				const workers = workerIds.join(',');
				if (workers !== '' && workers !== held.get(partId)?.workerIds.join(',')) {
					log.info('workers-held', {part: partId, workers, evictions});
					sinceMs.set(partId, sinceMs.get(partId) ?? now());
				}
			}

			for (const [partId, workers] of held) {
				if (workers.workerIds.length > 0 && !plan.held.has(partId)) {
					logRelease(partId, 'ended', workers);
				}
			}

			held = plan.held;
			reportGauge();
		},
		prune(isPending, isStarted) {
			const waiting = [...held].filter(([partId]) => isPending(partId));
			for (const [partId, workers] of held) {
				if (!isPending(partId) && workers.workerIds.length > 0) {
					logRelease(partId, isStarted(partId) ? 'started' : 'ended', workers);
				}
			}

			held = new Map(waiting);
			reportGauge();
		},
	};
};
