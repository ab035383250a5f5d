import {createRandom} from '../random.js';
import type {TraceFactory} from '../types.js';
import {sortBySubmission, meanWork, MIXED, steadyArrivals, type Mix} from './arrivals.js';
import {twoYearBundle} from './fleet.js';

const HOUR_MS = 3_600_000;

/** Jobs of 10 minutes to 6 hours, with gangs of up to 64 accelerators. */
const LONG: Mix = {
	...MIXED,
	sizes: [
		[1, 20],
		[2, 15],
		[4, 15],
		[8, 25],
		[16, 16],
		[32, 7],
		[64, 2],
	],
	seconds: [600, 21_600],
};

const JOBS_PER_DAY = 1200;

export const TWO_YEAR: TraceFactory = {
	name: 'two-year',
	// A pass of this policy copies every record for every job, which takes minutes per seed at this size.
	excludedPolicies: ['skipping-first-fit'],
	create({seed, hours: dayHours}) {
		// A quarter of the day has 300 jobs, which keeps the run short. The load is steady, so more hours would add little.
		const hours = dayHours / 4;
		const bundle = twoYearBundle();
		const load = (JOBS_PER_DAY * meanWork(LONG)) / (86_400 * 1600);
		const jobs = sortBySubmission(steadyArrivals(createRandom(seed), {bundle, mix: LONG, hours, load}));
		return {name: 'two-year', bundle, jobs, outages: [], horizonMs: hours * HOUR_MS};
	},
};
