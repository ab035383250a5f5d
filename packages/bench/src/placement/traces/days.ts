import type {Bundle} from '@bergamotgauge/model';
import {createRandom, type Random} from '../random.js';
import type {Outage, Trace, TraceFactory, TraceJob} from '../types.js';
import {createBurst, sortBySubmission, MIXED, steadyArrivals, type Mix} from './arrivals.js';
import {limaBundle, quebecBundle} from './fleet.js';

const HOUR_MS = 3_600_000;

type Day = Readonly<{
	name: string;
	createBundle: () => Bundle;
	load: number;
	mix?: Mix;
	createExtraJobs?: (random: Random, bundle: Bundle, hours: number) => readonly TraceJob[];
	changeJobs?: (random: Random, jobs: readonly TraceJob[], hours: number) => readonly TraceJob[];
	createOutages?: (random: Random, bundle: Bundle, hours: number) => readonly Outage[];
}>;

const createDay = ({
	name,
	createBundle,
	load,
	mix = MIXED,
	createExtraJobs,
	changeJobs,
	createOutages,
}: Day): TraceFactory => ({
	name,
	create({seed, hours}): Trace {
		const random = createRandom(seed);
		const bundle = createBundle();
		const steady = steadyArrivals(random, {bundle, mix, hours, load});
		const all = sortBySubmission([...steady, ...(createExtraJobs?.(random, bundle, hours) ?? [])]);
		return {
			name,
			bundle,
			jobs: changeJobs?.(random, all, hours) ?? all,
			outages: createOutages?.(random, bundle, hours) ?? [],
			horizonMs: hours * HOUR_MS,
		};
	},
});

const SMALL: Mix = {
	...MIXED,
	sizes: [
		[1, 3],
		[2, 1],
	],
	seconds: [60, 1800],
};

const LARGE: Mix = {
	...MIXED,
	sizes: [
		[16, 5],
		[32, 1],
	],
	classes: [
		['render', 3],
		['non-preemptible', 1],
	],
	seconds: [600, 5400],
};

const createBursts =
	(mix: Mix, count: number, times: number) =>
	(random: Random, bundle: Bundle, hours: number): TraceJob[] => {
		// Scale the number of bursts with the duration, so that the load stays the same.
		const scaled = Math.max(1, Math.round((times * hours) / 24));
		return Array.from({length: scaled}, (_, index) =>
			createBurst(random, {
				bundle,
				mix,
				name: `b${index}`,
				count,
				atMs: ((index + 0.5 + random.next() / 4) / scaled) * hours * HOUR_MS,
				durationMs: 60_000,
			}),
		).flat();
	};

/** An outage of the middle fifth of the trace. */
const createMiddayOutage = (hours: number, kind: Outage['kind'], workers: readonly string[]): Outage[] => [
	{kind, workers, fromMs: 0.4 * hours * HOUR_MS, toMs: 0.6 * hours * HOUR_MS},
];

const workersOf = ({racks}: Bundle, isAffected: (rack: Bundle['racks'][number]) => boolean): string[] =>
	racks.filter((rack) => isAffected(rack)).flatMap(({workers}) => workers.map(({name}) => name));

export const DAYS: readonly TraceFactory[] = [
	createDay({name: 'quebec-day', createBundle: quebecBundle, load: 0.85}),
	createDay({name: 'lima-day', createBundle: limaBundle, load: 0.6, createExtraJobs: createBursts(LARGE, 8, 2)}),
	createDay({
		name: 'small-bursts',
		createBundle: quebecBundle,
		load: 0.6,
		createExtraJobs: createBursts(SMALL, 200, 4),
	}),
	createDay({name: 'large-bursts', createBundle: limaBundle, load: 0.5, createExtraJobs: createBursts(LARGE, 16, 3)}),
	createDay({name: 'wrong-estimates', createBundle: quebecBundle, load: 0.75, mix: {...MIXED, ratio: [0.3, 5]}}),
	createDay({
		name: 'mass-cancellation',
		createBundle: quebecBundle,
		load: 0.6,
		createExtraJobs: createBursts(SMALL, 300, 2),
		changeJobs: (random, jobs) =>
			jobs.map((entry) =>
				entry.job.id.startsWith('b') && random.next() < 0.9 ? {...entry, cancelAfterSeconds: 300} : entry,
			),
	}),
	createDay({
		name: 'failing-workers',
		createBundle: quebecBundle,
		load: 0.6,
		changeJobs: (random, jobs) => jobs.map((entry) => (random.next() < 0.01 ? {...entry, isFaulty: true} : entry)),
		createOutages: (_random, _bundle, hours) => createMiddayOutage(hours, 'failing', ['r0w0', 'r1w3', 'r2w5']),
	}),
	createDay({
		name: 'rack-loss',
		createBundle: quebecBundle,
		load: 0.6,
		createOutages: (_random, bundle, hours) =>
			createMiddayOutage(
				hours,
				'lost',
				workersOf(bundle, ({name}) => name === 'r1'),
			),
	}),
	createDay({
		name: 'zone-loss',
		createBundle: limaBundle,
		load: 0.5,
		createOutages: (_random, bundle, hours) =>
			createMiddayOutage(
				hours,
				'lost',
				workersOf(bundle, ({availabilityZone}) => availabilityZone === 'z0'),
			),
	}),
];
