import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import {Command} from 'commander';
import {
	FULL_JOBS,
	FULL_RACKS,
	FULL_SIZES,
	QUICK_JOBS,
	QUICK_RACKS,
	QUICK_SIZES,
	SLOPE_INSTANCES,
	SUBMIT_BATCH,
} from './constants.js';
import {startFleet, type Fleet} from './fleet.js';
import {applyOnce, awaitMembers, measureTakeover, measureUsage, runLoad, submitJob} from './measure.js';
import {goalsOf, printReport, quantile, slopesOf} from './report.js';
import type {Point, Report} from './types.js';

const EXAMPLE_RACKS = 4;

type Plan = Readonly<{applies: number; takeovers: number; windowSeconds: number; settleMs: number}>;

const FULL: Plan = {applies: 50, takeovers: 2, windowSeconds: 10, settleMs: 2000};

const QUICK: Plan = {applies: 10, takeovers: 1, windowSeconds: 2, settleMs: 500};

const printProgress = (text: string): void => {
	process.stderr.write(`${text}\n`);
};

const withFleet = async <Result>(count: number, work: (fleet: Fleet) => Promise<Result>): Promise<Result> => {
	const lifecycle = createLifecycle('bench');
	const stop = async () => {
		await lifecycle.close();
		process.exit(1);
	};

	const handleSignal = () => {
		void stop();
	};

	process.once('SIGTERM', handleSignal);
	process.once('SIGINT', handleSignal);
	try {
		const fleet = await startFleet(lifecycle, count);
		await awaitMembers(fleet);
		return await work(fleet);
	} finally {
		process.off('SIGTERM', handleSignal);
		process.off('SIGINT', handleSignal);
		await lifecycle.close();
	}
};

const measureSize = async (
	size: number,
	{applies, takeovers, windowSeconds, settleMs}: Plan,
): Promise<readonly Point[]> =>
	withFleet(size, async (fleet) => {
		const axis = {axis: 'instances', size} as const;
		const times: number[] = [];
		for (let generation = 0; generation < applies; generation += 1) {
			times.push(await applyOnce(fleet, generation, EXAMPLE_RACKS));
		}

		const points: Point[] = [
			...([50, 99] as const).map((percent) => ({
				series: `in-force-p${percent}`,
				...axis,
				value: quantile(times, percent / 100),
				unit: 'ms',
			})),
			{series: 'in-force-max', ...axis, value: Math.max(...times), unit: 'ms'},
		];
		await sleep(settleMs);
		const idle = await measureUsage(fleet, 'idle', axis, async () => sleep(windowSeconds * 1000));
		const load = await measureUsage(fleet, 'load', axis, async () => runLoad(fleet, windowSeconds));
		points.push(...idle, ...load);
		for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
			for (let round = 0; round < takeovers; round += 1) {
				const value = await measureTakeover(fleet, signal);
				points.push({series: `takeover-${signal.toLowerCase()}`, ...axis, value, unit: 'ms'});
			}
		}

		return points;
	});

const measureRacksAndJobs = async (
	racks: readonly number[],
	jobs: readonly number[],
	{windowSeconds, settleMs}: Plan,
): Promise<readonly Point[]> =>
	withFleet(SLOPE_INSTANCES, async (fleet) => {
		const points: Point[] = [];
		const idle = async () => sleep(windowSeconds * 1000);
		for (const [generation, size] of racks.entries()) {
			await applyOnce(fleet, generation, size);
			await sleep(settleMs);
			points.push(...(await measureUsage(fleet, 'idle', {axis: 'racks', size}, idle)));
		}

		await applyOnce(fleet, racks.length, EXAMPLE_RACKS);
		let submitted = 0;
		for (const size of jobs) {
			const entryInstances = Array.from({length: size - submitted}, (_, index) => `q${(index % SLOPE_INSTANCES) + 1}`);
			submitted = size;
			for (let first = 0; first < entryInstances.length; first += SUBMIT_BATCH) {
				const batch = entryInstances.slice(first, first + SUBMIT_BATCH);
				await Promise.all(batch.map(async (id) => submitJob(fleet, id, 64, 600_000)));
			}

			await sleep(settleMs);
			points.push(...(await measureUsage(fleet, 'idle', {axis: 'jobs', size}, idle)));
		}

		return points;
	});

type Options = Readonly<{quick?: boolean; json?: string; sizes?: string}>;

const run = async ({quick: isQuick = false, json: file, sizes}: Options): Promise<void> => {
	const plan = isQuick ? QUICK : FULL;
	const points: Point[] = [];
	const save = (): Report => {
		const report: Report = {bench: 'control', isQuick, points, slopes: slopesOf(points), goals: goalsOf(points)};
		if (file !== undefined) {
			writeFileSync(file, `${JSON.stringify(report, undefined, '\t')}\n`);
		}

		return report;
	};

	const chosenSizes = sizes?.split(',').map(Number);
	for (const size of chosenSizes ?? (isQuick ? QUICK_SIZES : FULL_SIZES)) {
		printProgress(`${size} instances`);
		points.push(...(await measureSize(size, plan)));
		save();
	}

	if (!chosenSizes) {
		printProgress('racks and jobs');
		const [racks, jobs] = isQuick ? [QUICK_RACKS, QUICK_JOBS] : [FULL_RACKS, FULL_JOBS];
		points.push(...(await measureRacksAndJobs(racks, jobs, plan)));
	}

	const {slopes, goals} = save();
	printReport(points, slopes, goals);
};

const program = new Command('bench:control')
	.description('Measure the control traffic between instances and the store')
	.option('--quick', 'small sizes, within a minute')
	.option('--sizes <counts>', 'comma-separated fleet sizes; leaves out the slopes over racks and jobs')
	.option('--json <file>', 'write the raw points, slopes and goals as JSON')
	.action(run);

await program.parseAsync();
