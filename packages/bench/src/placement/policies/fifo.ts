import type {JobRecord} from '@bergamotgauge/model';
import type {Decision} from '@bergamotgauge/placement';
import type {Policy} from '../types.js';
import {bestFit, createGrid, firstFit, isOverQuota, placeAt, type Grid, type Place} from './grid.js';

/** Places jobs in submission order. The first job that does not fit blocks all later jobs; a job over its customer's quota is skipped. */
const fifo = (name: string, fit: (grid: Grid, job: JobRecord) => Place | undefined): Policy => ({
	name,
	isPlanner: false,
	decide(view) {
		const grid = createGrid(view);
		const decisions: Decision[] = [];
		for (const job of view.jobs) {
			if (grid.placed.has(job.id) || isOverQuota(grid, job)) {
				continue;
			}

			const place = fit(grid, job);
			if (!place) {
				break;
			}

			decisions.push(placeAt(grid, job, place));
		}

		return decisions;
	},
});

export const FIFO_FIRST_FIT = fifo('fifo-first-fit', firstFit);

export const FIFO_BEST_FIT = fifo('fifo-best-fit', bestFit);
