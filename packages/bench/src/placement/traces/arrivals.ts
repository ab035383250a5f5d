import type {Bundle, JobRecord} from '@bergamotgauge/model';
import type {TraceJob} from '../types.js';
import type {Random} from '../random.js';

const HOUR_MS = 3_600_000;

/** Distribution of the jobs of a trace. Sizes and classes are pairs of value and weight. */
export type Mix = Readonly<{
	sizes: ReadonlyArray<readonly [number, number]>;
	classes: ReadonlyArray<readonly [string, number]>;
	/** Minimum and maximum true run time in seconds; log-uniform in between. */
	seconds: readonly [number, number];
	/** Minimum and maximum ratio of true to declared run time; log-uniform in between. */
	ratio: readonly [number, number];
}>;

export const MIXED: Mix = {
	sizes: [
		[1, 40],
		[2, 20],
		[4, 14],
		[8, 16],
		[16, 8],
		[32, 2],
	],
	classes: [
		['urgent', 6],
		['render', 40],
		['batch', 30],
		['non-preemptible', 10],
		['scratch', 8],
		['once', 6],
	],
	seconds: [60, 14_400],
	ratio: [0.7, 1.3],
};

const meanOf = (values: ReadonlyArray<readonly [number, number]>): number => {
	const total = values.reduce((sum, [, weight]) => sum + weight, 0);
	return values.reduce((sum, [value, weight]) => sum + value * weight, 0) / total;
};

/** Mean accelerator-seconds of a job of the mix. */
export const meanWork = ({sizes, seconds: [low, high]}: Mix): number =>
	meanOf(sizes) * ((high - low) / Math.log(high / low));

const URGENT_SIZES = [
	[1, 3],
	[2, 1],
] as const;

export const createJob = (
	random: Random,
	bundle: Bundle,
	mix: Mix,
	{id, submittedAtMs}: Readonly<{id: string; submittedAtMs: number}>,
): TraceJob => {
	const jobClass = random.pick(mix.classes);
	const isUrgent = jobClass === 'urgent';
	const accelerators = random.pick<number>(isUrgent ? URGENT_SIZES : mix.sizes);
	const [low, high] = mix.seconds;
	const trueSeconds = Math.round(isUrgent ? random.logBetween(30, 300) : random.logBetween(low, high));
	const customer = random.pick(bundle.customers.map(({name}, index) => [name, 1 + 1 / (index + 1)] as const));
	const job: JobRecord = {
		id,
		customer,
		jobClass,
		labels: {},
		accelerators,
		coresPerAccelerator: 4,
		memoryGigabytesPerAccelerator: 8,
		declaredSeconds: Math.max(1, Math.round(trueSeconds / random.logBetween(...mix.ratio))),
		workerSelector: {},
		payload: undefined,
		submittedAtMs: Math.round(submittedAtMs),
		attempt: 1,
		failedOn: [],
		cancelRequested: false,
		state: 'queued',
		ranSeconds: 0,
	};
	return {job, trueSeconds};
};

export type Arrivals = Readonly<{
	bundle: Bundle;
	mix: Mix;
	hours: number;
	/** Mean demand as a share of the accelerators of the bundle. */
	load: number;
}>;

/** Poisson arrivals. Their rate varies sinusoidally by 40% above and below the load, with one cycle over the trace (a day). */
export const steadyArrivals = (random: Random, {bundle, mix, hours, load}: Arrivals): TraceJob[] => {
	const accelerators = bundle.racks
		.flatMap(({workers}) => workers)
		.reduce((sum, worker) => sum + worker.accelerators, 0);
	const perMs = (accelerators * load) / (meanWork(mix) * 1000);
	const jobs: TraceJob[] = [];
	let atMs = 0;
	for (;;) {
		const dailyFactor = 1 + 0.4 * Math.sin((2 * Math.PI * atMs) / (hours * HOUR_MS));
		atMs += random.exponential(1 / (perMs * dailyFactor));
		if (atMs >= hours * HOUR_MS) {
			return jobs;
		}

		jobs.push(createJob(random, bundle, mix, {id: `s${jobs.length}`, submittedAtMs: atMs}));
	}
};

export type Burst = Readonly<{bundle: Bundle; mix: Mix; name: string; count: number; atMs: number; durationMs: number}>;

/** Jobs of the mix, submitted at random times within `durationMs` from `atMs` on. */
export const createBurst = (random: Random, {bundle, mix, name, count, atMs, durationMs}: Burst): TraceJob[] =>
	Array.from({length: count}, (_, index) =>
		createJob(random, bundle, mix, {id: `${name}-${index}`, submittedAtMs: atMs + random.next() * durationMs}),
	);

export const sortBySubmission = (jobs: readonly TraceJob[]): TraceJob[] =>
	jobs.toSorted((a, b) => a.job.submittedAtMs - b.job.submittedAtMs || (a.job.id < b.job.id ? -1 : 1));
