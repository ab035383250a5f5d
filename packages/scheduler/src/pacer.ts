import {PACE_PATIENCE_SHARE} from './constants.js';
import {stepOf} from './job-run.js';
import type {LeaderState, Placed} from './leader-state.js';
import {firstPace, nextPace, type Pace} from './pace.js';
import type {Placements} from './placements.js';
import type {Bounds} from './types.js';

export type PacerOptions = Readonly<{
	state: LeaderState;
	placements: Pick<Placements, 'pace'>;
	bounds: Bounds;
	now: () => number;
}>;

/** Slows units that use what others leave, where they disturb units with users of their own. */
export type Pacer = Readonly<{
	/** Decides by the newest reports and orders what has changed. Returns the workers that run units of both kinds. */
	pass: () => ReadonlySet<string>;
	/** Whether units with users of their own are short of room on the worker. */
	isCrowded: (workerId: string) => boolean;
}>;

const isServing = ({run, part, placement}: Placed): boolean =>
	stepOf(run, part).tailTargetMs !== undefined && placement.phase === 'running';

const isFilling = ({run, part, placement}: Placed): boolean =>
	stepOf(run, part).usesLeftover && placement.phase === 'running';

/** Ratio of the unit's response times to their target; 0 while none are known. */
const loadOf = ({run, part, placement}: Placed): number =>
	(placement.recentFigure ?? 0) / (stepOf(run, part).tailTargetMs ?? Number.POSITIVE_INFINITY);

/**
Creates the pacer of a term.

@example
```ts
const pacer = createPacer({state, placements, bounds, now});
fleet.setShared(pacer.pass());
```
*/
export const createPacer = ({state, placements, bounds, now}: PacerOptions): Pacer => {
	const paces = new Map<string, Pace>();

	const paceWorker = (workerId: string, serving: readonly Placed[], filling: readonly Placed[]) => {
		const load = Math.max(...serving.map((placed) => loadOf(placed)));
		const known = paces.get(workerId);
		const pace = known
			? nextPace(known, {load, nowMs: now(), patienceMs: bounds.harmMs * PACE_PATIENCE_SHARE})
			: firstPace(now());
		paces.set(workerId, pace);
		for (const {run, part, placement} of filling) {
			if (placement.pace !== pace.percent) {
				placements.pace(run, part, placement, pace.percent);
			}
		}
	};

	/** Nothing is disturbed any more, so that the rest works at full speed. */
	const release = (workerId: string, filling: readonly Placed[]) => {
		paces.delete(workerId);
		for (const {run, part, placement} of filling) {
			if (placement.pace !== 100) {
				placements.pace(run, part, placement, 100);
			}
		}
	};

	return {
		pass() {
			const shared = new Set<string>();
			for (const [workerId, placed] of state.index.placed) {
				const filling = placed.filter((one) => isFilling(one));
				if (filling.length === 0) {
					paces.delete(workerId);
					continue;
				}

				const serving = placed.filter((one) => isServing(one));
				if (serving.length === 0) {
					release(workerId, filling);
				} else {
					shared.add(workerId);
					paceWorker(workerId, serving, filling);
				}
			}

			return shared;
		},
		isCrowded: (workerId) => (paces.get(workerId)?.percent ?? 100) < 100,
	};
};
