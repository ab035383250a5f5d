import type {JobRecord} from '@bergamotgauge/model';
import type {Decision} from '@bergamotgauge/placement';
import type {Policy} from '../types.js';
import {createGrid, forEachRun, isOverQuota, isPlaceFree, placeAt, type Grid, type Place} from './grid.js';

/** Reservation of the first blocked job: where and when enough accelerators become free. */
type Shadow = Readonly<{place: Place; readyMs: number}>;

const shadowOf = (grid: Grid, job: JobRecord, newPlacementEnds: ReadonlyMap<string, number>): Shadow | undefined => {
	const {view} = grid;
	const ends = new Map<string, number>();
	for (const {placements} of view.racks.values()) {
		for (const {blocks, expectedEndMs} of placements) {
			for (const {worker, first, count} of blocks) {
				for (let cell = first; cell < first + count; cell += 1) {
					ends.set(`${worker}/${cell}`, Math.max(view.nowMs + 1000, expectedEndMs));
				}
			}
		}
	}

	let best: Shadow | undefined;
	forEachRun(grid, job, (place) => {
		let readyMs = view.nowMs;
		for (const {worker, first, count} of place.blocks) {
			for (let cell = first; cell < first + count; cell += 1) {
				const key = `${worker}/${cell}`;
				readyMs = Math.max(readyMs, ends.get(key) ?? newPlacementEnds.get(key) ?? 0);
			}
		}

		if (readyMs < (best?.readyMs ?? Number.POSITIVE_INFINITY)) {
			best = {place, readyMs};
		}

		return false;
	});
	return best;
};

const overlaps = (a: Place, b: Place): boolean =>
	a.rack === b.rack &&
	a.blocks.some((left) =>
		b.blocks.some(
			(right) =>
				left.worker === right.worker && left.first < right.first + right.count && right.first < left.first + left.count,
		),
	);

const backfill = (grid: Grid, job: JobRecord, shadow: Shadow | undefined): Place | undefined => {
	const isInTime = !shadow || grid.view.nowMs + job.declaredSeconds * 1000 <= shadow.readyMs;
	let found: Place | undefined;
	forEachRun(grid, job, (place) => {
		if (isPlaceFree(grid, place) && (isInTime || !overlaps(place, shadow.place))) {
			found = place;
		}

		return found !== undefined;
	});
	return found;
};

/** EASY backfilling: reserves a start time for the first blocked job by declared run times; later jobs are backfilled when they do not delay it. */
export const EASY_BACKFILL: Policy = {
	name: 'easy-backfill',
	isPlanner: false,
	decide(view) {
		const grid = createGrid(view);
		const decisions: Decision[] = [];
		const newPlacementEnds = new Map<string, number>();
		// By accelerators: the declared run time from which jobs cannot be placed in this pass. When a
		// job cannot be placed, neither can one of the same size with the same or a longer declared run time.
		const unplaceableSeconds = new Map<number, number>();
		let shadow: Shadow | undefined;
		for (const job of view.jobs) {
			const isKnownUnplaceable =
				job.failedOn.length === 0 && job.declaredSeconds >= (unplaceableSeconds.get(job.accelerators) ?? Infinity);
			if (grid.placed.has(job.id) || isKnownUnplaceable || isOverQuota(grid, job)) {
				continue;
			}

			const place = backfill(grid, job, shadow);
			if (place) {
				decisions.push(placeAt(grid, job, place));
				for (const {worker, first, count} of place.blocks) {
					for (let cell = first; cell < first + count; cell += 1) {
						newPlacementEnds.set(`${worker}/${cell}`, view.nowMs + job.declaredSeconds * 1000);
					}
				}

				continue;
			}

			if (job.failedOn.length === 0) {
				unplaceableSeconds.set(job.accelerators, job.declaredSeconds);
			}

			shadow ??= shadowOf(grid, job, newPlacementEnds);
		}

		return decisions;
	},
};
