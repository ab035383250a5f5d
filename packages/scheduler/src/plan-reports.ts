import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {KeptApart} from './interference/kept-apart.js';
import type {Plan} from './plan/types.js';
import type {Resources} from './types.js';
import {stepOf, type ActiveJob, type Part} from './active-job.js';
import {stepIdOf} from './plan-view.js';

/** What one part needs, as fields of a log line. */
export type PartDescription = Readonly<
	{step: string; members: number; label: string | undefined} & Record<keyof Resources, number>
>;

/** What a part needs, as fields of a log line. */
export const partDescriptionOf = (activeJob: ActiveJob, part: Part): PartDescription => {
	const {cpuMillis, memoryMb, accelerators, requiredLabel} = stepOf(activeJob, part);
	return {
		step: stepIdOf(activeJob, part),
		members: part.indexes.length,
		cpuMillis,
		memoryMb,
		accelerators,
		label: requiredLabel,
	};
};

/** Lines and gauges on the parts that wait. */
export type PlanReports = Readonly<{
	/** Reports what a pass has decided on the parts that could not be placed. */
	reportWaiting: (plan: Plan, describePart: (partId: string) => PartDescription) => void;
	/** Reports units that run elsewhere than on the worker with the most suitable room, since the work there slows them down or is slowed down. */
	reportKeptApart: (kept: readonly KeptApart[]) => void;
	/** Reports how many starts of a pass are held back, by a window of this size. */
	reportHeldBack: (starts: number, window: number) => void;
}>;

/**
Creates the reports of a term. A line is logged only when a part begins to wait in this way, since passes follow each other every few milliseconds.

@example
```ts
const reports = createPlanReports({log, metrics});
reports.reportWaiting(plan(view), describePart);
```
*/
export const createPlanReports = ({log, metrics}: Readonly<{log: Log; metrics: Metrics}>): PlanReports => {
	let reservingParts: ReadonlySet<string> = new Set();
	let unplaceableSteps: ReadonlySet<string> = new Set();
	let isHoldingBack = false;
	/** Units of the last pass; a start that is held back is planned again. */
	let keptUnits: ReadonlySet<string> = new Set();

	const reportReservations = (reservations: Plan['reservations']) => {
		metrics.gauge(
			'workers_reserved',
			reservations.reduce((sum, {workerIds}) => sum + workerIds.length, 0),
		);
		for (const {partId, workerIds} of reservations) {
			if (!reservingParts.has(partId)) {
				log.info('workers-reserved', {part: partId, workers: workerIds.join(',')});
			}
		}

		reservingParts = new Set(reservations.map(({partId}) => partId));
	};

	const reportUnplaceable = (unplaceable: Plan['unplaceable'], describePart: (partId: string) => PartDescription) => {
		metrics.gauge('parts_unplaceable', unplaceable.length);
		const steps = new Set<string>();
		for (const partId of unplaceable) {
			const {step, ...needs} = describePart(partId);
			if (!steps.has(step) && !unplaceableSteps.has(step)) {
				log.info('step-unplaceable', {step, ...needs});
			}

			steps.add(step);
		}

		unplaceableSteps = steps;
	};

	return {
		reportWaiting({reservations, unplaceable}, describePart) {
			reportReservations(reservations);
			reportUnplaceable(unplaceable, describePart);
		},
		reportKeptApart(kept) {
			for (const fields of kept.filter(({unit}) => !keptUnits.has(unit))) {
				log.info('worker-passed-over', fields);
				metrics.count('placements_kept_apart_total');
			}

			keptUnits = new Set(kept.map(({unit}) => unit));
		},
		reportHeldBack(starts, window) {
			metrics.gauge('starts_held_back', starts);
			if (starts > 0 && !isHoldingBack) {
				log.info('starts-held-back', {starts, window});
			}

			isHoldingBack = starts > 0;
		},
	};
};
