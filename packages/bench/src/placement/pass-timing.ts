import {performance} from 'node:perf_hooks';
import type {Bundle, JobRecord, RackRecord} from '@bergamotgauge/model';
import {createArrivalPlanner, planPass, type PlacementView} from '@bergamotgauge/placement';
import {percentile} from './measure.js';
import {createRandom} from './random.js';
import {createJob, MIXED, type Mix} from './traces/arrivals.js';
import {twoYearBundle} from './traces/fleet.js';

export type PassTiming = Readonly<{
	scale: number;
	workers: number;
	accelerators: number;
	running: number;
	waiting: number;
	customers: number;
	passP50Ms: number;
	passP99Ms: number;
	arrivalP50Ms: number;
	arrivalP99Ms: number;
}>;

/** Jobs of one accelerator fill the pool with the largest possible number of placements. */
const FILL_MIX: Mix = {...MIXED, sizes: [[1, 1]], classes: [['render', 1]]};

const MAX_WAIT_MINUTES = 60;

const fillPool = (bundle: Bundle, seed: number): PlacementView => {
	const random = createRandom(seed);
	let view: PlacementView = {bundle, racks: new Map(), jobs: [], workersDown: new Set(), nowMs: 0};
	const accelerators = bundle.racks
		.flatMap(({workers}) => workers)
		.reduce((sum, worker) => sum + worker.accelerators, 0);
	const jobs = Array.from(
		{length: accelerators * 1.25},
		(_, index) => createJob(random, bundle, FILL_MIX, {id: `r${index}`, submittedAtMs: 0}).job,
	);
	view = {...view, jobs};
	const records = new Map<string, RackRecord>();
	const running = new Set<string>();
	for (const decision of planPass(view)) {
		const empty = {epoch: 0, homes: [], placements: [], quarantines: []};
		if (decision.kind === 'homes') {
			records.set(decision.rack, {...empty, rack: decision.rack, homes: decision.homes});
		} else if (decision.kind === 'place') {
			const record = records.get(decision.rack) ?? {...empty, rack: decision.rack};
			const placements = [...record.placements, {...decision.placement, token: 1}];
			records.set(decision.rack, {...record, placements});
			running.add(decision.placement.job);
		}
	}

	return {...view, racks: records, jobs: jobs.filter(({id}) => running.has(id)), nowMs: MAX_WAIT_MINUTES * 60_000};
};

/** Ends about `count` jobs, as happens between two passes, so that the next pass has free accelerators to assign. */
const endJobs = (view: PlacementView, count: number, offset: number): PlacementView => {
	const ended = new Set(
		view.jobs.filter((_, index) => (index + offset) % Math.ceil(view.jobs.length / count) === 0).map(({id}) => id),
	);
	const racks = new Map(
		[...view.racks].map(([rack, record]) => [
			rack,
			{...record, placements: record.placements.filter(({job}) => !ended.has(job))},
		]),
	);
	return {...view, racks, jobs: view.jobs.filter(({id}) => !ended.has(id))};
};

/** Measures the duration of full passes and of single arrivals at a fraction of the two-year scale. */
export const timePasses = (scale: number, repetitions: number): PassTiming => {
	const bundle = twoYearBundle(scale);
	const filledView = fillPool(bundle, 1);
	const random = createRandom(2);
	const waitingCount = Math.round(1000 * scale);
	const passMs: number[] = [];
	const arrivalMs: number[] = [];
	for (let repetition = 0; repetition < repetitions; repetition += 1) {
		const waiting: JobRecord[] = Array.from(
			{length: waitingCount},
			(_, index) =>
				createJob(random, bundle, MIXED, {
					id: `w${repetition}-${index}`,
					submittedAtMs: random.between(0, MAX_WAIT_MINUTES * 60_000),
				}).job,
		);
		const base = endJobs(filledView, 40 * scale, repetition);
		// Every fifth pass gets a new bundle object, as after a change of the declarations.
		const view = {...base, bundle: repetition % 5 === 0 ? {...bundle} : bundle, jobs: [...base.jobs, ...waiting]};
		const passStartedMs = performance.now();
		planPass(view);
		passMs.push(performance.now() - passStartedMs);
		const {job} = createJob(random, bundle, MIXED, {id: `a${repetition}`, submittedAtMs: view.nowMs});
		const planArrival = createArrivalPlanner(view);
		const arrivalStartedMs = performance.now();
		planArrival(job);
		arrivalMs.push(performance.now() - arrivalStartedMs);
	}

	// Skip the first passes, which run before JIT compilation; a long-running daemon runs compiled code.
	const warmUpCount = Math.min(20, Math.floor(repetitions / 4));
	const workers = bundle.racks.flatMap((rack) => rack.workers);
	return {
		scale,
		workers: workers.length,
		accelerators: workers.reduce((sum, worker) => sum + worker.accelerators, 0),
		running: filledView.jobs.length,
		waiting: waitingCount,
		customers: bundle.customers.length,
		passP50Ms: percentile(passMs.slice(warmUpCount), 50),
		passP99Ms: percentile(passMs.slice(warmUpCount), 99),
		arrivalP50Ms: percentile(arrivalMs.slice(warmUpCount), 50),
		arrivalP99Ms: percentile(arrivalMs.slice(warmUpCount), 99),
	};
};
