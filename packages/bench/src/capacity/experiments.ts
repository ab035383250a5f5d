import {sleep} from '@bergamotgauge/lifecycle';
import type {Declarations} from '@bergamotgauge/model';
import {encodeValue} from '@bergamotgauge/store';
import {request} from 'undici';
import {BASE_INSTANCES, BASE_WORKERS, ENDLESS_RUN_MS, TARGET} from './constants.js';
import {generateDeclarations} from './declarations.js';
import {fitLine} from './fit.js';
import {startFleet, type Fleet, type StoreCalls} from './fleet.js';
import {startLoad, type Load} from './load.js';
import type {Point, ProgressReporter, Scale, Series, Usage} from './types.js';

export type Experiment = (scale: Scale, progress: ProgressReporter) => Promise<readonly Series[]>;

type Measurement = Readonly<{
	size: number;
	usage: Usage;
	writesPerSecond: number;
	readsPerSecond: number;
	failed: number;
}>;

const seriesOf = (name: string, unit: string, per: string, points: readonly Point[]): Series => ({
	name,
	unit,
	per,
	points,
	fit: fitLine(points),
});

const writesOf = (calls: StoreCalls): number => (calls.put ?? 0) + (calls.remove ?? 0);

const readsOf = (calls: StoreCalls): number => (calls.get ?? 0) + (calls.list ?? 0) + (calls.watch ?? 0);

const measure = async (fleet: Fleet, size: number, windowMs: number): Promise<Measurement> => {
	const before = await fleet.storeCalls();
	const startedMs = performance.now();
	const usage = await fleet.measure(windowMs);
	const after = await fleet.storeCalls();
	const seconds = (performance.now() - startedMs) / 1000;
	return {
		size,
		usage,
		writesPerSecond: (writesOf(after) - writesOf(before)) / seconds,
		readsPerSecond: (readsOf(after) - readsOf(before)) / seconds,
		failed: 0,
	};
};

const formatMeasurement = (
	name: string,
	per: string,
	{size, usage, writesPerSecond, readsPerSecond, failed}: Measurement,
): string =>
	`${name}: ${size} ${per}: cpu ${(usage.cpu * 100).toFixed(2)}%, ${(usage.bytesPerSecond / 1024).toFixed(1)} KB/s, ${(usage.memory / 1024 / 1024).toFixed(0)} MB, store ${writesPerSecond.toFixed(1)} writes/s ${readsPerSecond.toFixed(1)} reads/s${failed > 0 ? `, ${failed} calls failed` : ''}`;

const allSeries = (name: string, per: string, measured: readonly Measurement[]): readonly Series[] => {
	const points = (value: (point: Measurement) => number): readonly Point[] =>
		measured.map((point) => ({size: point.size, value: value(point)}));
	return [
		seriesOf(
			`${name}/cpu`,
			'core',
			per,
			points(({usage}) => usage.cpu),
		),
		seriesOf(
			`${name}/bytes`,
			'B/s',
			per,
			points(({usage}) => usage.bytesPerSecond),
		),
		seriesOf(
			`${name}/memory`,
			'B',
			per,
			points(({usage}) => usage.memory),
		),
		seriesOf(
			`${name}/store-writes`,
			'calls/s',
			per,
			points(({writesPerSecond}) => writesPerSecond),
		),
		seriesOf(
			`${name}/store-reads`,
			'calls/s',
			per,
			points(({readsPerSecond}) => readsPerSecond),
		),
	];
};

/** Measures a new fleet for each size. */
const varyFleet = async (
	name: string,
	per: string,
	sizes: readonly number[],
	options: (size: number) => Parameters<typeof startFleet>[0],
): Promise<(scale: Scale, progress: ProgressReporter) => Promise<readonly Series[]>> => {
	const run = async ({settleMs, windowMs}: Scale, progress: ProgressReporter) => {
		const measured: Measurement[] = [];
		for (const size of sizes) {
			const fleet = await startFleet(options(size));
			try {
				await sleep(settleMs);
				const point = await measure(fleet, size, windowMs);
				measured.push(point);
				progress(formatMeasurement(name, per, point));
			} finally {
				await fleet.close();
			}
		}

		return allSeries(name, per, measured);
	};

	return run;
};

type LoadOptions = Readonly<{
	name: string;
	per: string;
	sizes: readonly number[];
	fleet: Parameters<typeof startFleet>[0];
	/** Starts the load of a size, or brings the fleet to the size and returns `undefined` when no load has to run. */
	start: (fleet: Fleet, size: number) => Promise<Load | undefined>;
}>;

/** Measures one fleet under loads of increasing size. */
const varyLoad = async (options: LoadOptions, {settleMs, windowMs}: Scale, progress: ProgressReporter) => {
	const {name, per, sizes, start} = options;
	const fleet = await startFleet(options.fleet);
	const measured: Measurement[] = [];
	try {
		for (const size of sizes) {
			const load = await start(fleet, size);
			await sleep(settleMs);
			const point = {...(await measure(fleet, size, windowMs)), failed: (await load?.stop()) ?? 0};
			measured.push(point);
			progress(formatMeasurement(name, per, point));
		}
	} finally {
		await fleet.close();
	}

	return allSeries(name, per, measured);
};

const workers: Experiment = async (scale, progress) => {
	const run = await varyFleet('workers', 'workers', scale.workers, (size) => ({instances: 1, workers: size}));
	return run(scale, progress);
};

const instances: Experiment = async (scale, progress) => {
	const run = await varyFleet('instances', 'instances', scale.instances, (size) => ({instances: size, workers: 8}));
	return run(scale, progress);
};

const withLabel = (declarations: Declarations, label: string): Declarations => ({
	...declarations,
	customers: declarations.customers.map((customer) => ({...customer, labels: {...customer.labels, change: label}})),
});

const changes: Experiment = async (scale, progress) =>
	varyLoad(
		{
			name: 'changes',
			per: 'changes/s',
			sizes: scale.changesPerSecond,
			fleet: {instances: BASE_INSTANCES, workers: BASE_WORKERS, customers: TARGET.customers},
			async start(fleet, size) {
				return startLoad(size, async (index) => {
					const {bundle} = await fleet.operator.bundle();
					await fleet.operator.apply(
						bundle?.generation ?? 0,
						withLabel(fleet.generated.declarations, `${size}-${index}`),
					);
				});
			},
		},
		scale,
		progress,
	);

const jobBody = (accelerators: number, runMs: number): unknown => ({
	jobClass: 'batch',
	accelerators,
	declaredSeconds: runMs / 1000,
	payload: {runMs},
});

const jobs: Experiment = async (scale, progress) =>
	varyLoad(
		{
			name: 'jobs',
			per: 'jobs/s',
			sizes: scale.jobsPerSecond,
			fleet: {instances: BASE_INSTANCES, workers: BASE_WORKERS},
			start: async (fleet, size) =>
				startLoad(size, async (index) => fleet.caller(index).call('POST', '/v1/jobs', jobBody(8, 500))),
		},
		scale,
		progress,
	);

const requests: Experiment = async (scale, progress) =>
	varyLoad(
		{
			name: 'requests',
			per: 'requests/s',
			sizes: scale.requestsPerSecond,
			fleet: {instances: BASE_INSTANCES, workers: 8, endpoints: 30},
			async start(fleet, size) {
				return startLoad(size, async (index) => {
					const {address} = fleet.instances[index % fleet.instances.length]!;
					const response = await request(`http://${address}/v1/services/service/path`, {
						method: 'POST',
						headers: {authorization: `Bearer ${fleet.generated.callerToken}`, 'content-type': 'text/plain'},
						body: `request ${index}`,
					});
					await response.body.dump();
					if (response.statusCode !== 200) {
						throw new Error(`status ${response.statusCode}`);
					}
				});
			},
		},
		scale,
		progress,
	);

const submitMany = async (fleet: Fleet, count: number, accelerators: number): Promise<void> => {
	const batchSize = 50;
	for (let first = 0; first < count; first += batchSize) {
		await Promise.all(
			Array.from({length: Math.min(batchSize, count - first)}, async (_, index) =>
				fleet.caller(index).call('POST', '/v1/jobs', jobBody(accelerators, ENDLESS_RUN_MS)),
			),
		);
	}
};

/** Submits long-running jobs until the fleet has `size` of them. */
const growTo = (accelerators: number): LoadOptions['start'] => {
	let submitted = 0;
	return async (fleet, size) => {
		await submitMany(fleet, size - submitted, accelerators);
		submitted = size;
		return undefined;
	};
};

const tasks: Experiment = async (scale, progress) =>
	varyLoad(
		{
			name: 'tasks',
			per: 'tasks',
			sizes: scale.runningTasks,
			fleet: {instances: BASE_INSTANCES, workers: BASE_WORKERS},
			start: growTo(1),
		},
		scale,
		progress,
	);

const waiting: Experiment = async (scale, progress) => {
	const grow = growTo(64);
	return varyLoad(
		{
			name: 'waiting',
			per: 'waiting jobs',
			sizes: scale.waitingJobs,
			fleet: {instances: BASE_INSTANCES, workers: 8},
			// The first job occupies the only rack, so all others stay queued.
			start: grow,
		},
		scale,
		progress,
	);
};

const bundle: Experiment = async (_scale, progress) => {
	const sizeOf = (customers: number, count: number): number => {
		const {declarations} = generateDeclarations({customers, workers: count});
		return encodeValue([{id: '0198c0de-0000-7000-8000-000000000000', expectedRevision: 1}], {
			...declarations,
			generation: 1,
		}).byteLength;
	};

	const byCustomer = [15, 30, 60, 120].map((size) => ({size, value: sizeOf(size, 8)}));
	const byWorker = [112, 224, 448, 896].map((size) => ({size, value: sizeOf(4, size)}));
	progress(`bundle: ${byCustomer.at(-1)!.value} B for 120 customers, ${byWorker.at(-1)!.value} B for 896 workers`);
	return [
		seriesOf('bundle/customers', 'B', 'customers', byCustomer),
		seriesOf('bundle/workers', 'B', 'workers', byWorker),
	];
};

/** Experiments in execution order. */
export const EXPERIMENTS: ReadonlyArray<Readonly<{name: string; run: Experiment}>> = [
	{name: 'bundle', run: bundle},
	{name: 'workers', run: workers},
	{name: 'instances', run: instances},
	{name: 'changes', run: changes},
	{name: 'jobs', run: jobs},
	{name: 'requests', run: requests},
	{name: 'tasks', run: tasks},
	{name: 'waiting', run: waiting},
];
