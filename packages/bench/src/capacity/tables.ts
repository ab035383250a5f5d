import {LIMITS, SECONDS_PER_DAY, TARGET} from './constants.js';
import {valueAt} from './fit.js';
import type {Fit, Series} from './types.js';

const table = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string =>
	[header, header.map(() => '---'), ...rows].map((row) => `| ${row.join(' | ')} |`).join('\n');

const significant = (value: number): string => {
	if (value === 0) {
		return '0';
	}

	return Math.abs(value) >= 1000 ? Math.round(value).toLocaleString('en-US') : Number(value.toPrecision(3)).toString();
};

const fitOf = (series: readonly Series[], name: string): Fit => {
	const found = series.find((candidate) => candidate.name === name);
	if (!found) {
		throw new Error(`no series ${name}`);
	}

	return found.fit;
};

/** Renders every measured series with its points, fit and spread. */
export const slopeTable = (series: readonly Series[]): string =>
	table(
		['series', 'unit', 'per', 'points (size: value)', 'slope', 'intercept', 'R²', 'spread'],
		series.map(({name, unit, per, points, fit}) => [
			name,
			unit,
			per,
			points.map(({size, value}) => `${size}: ${significant(value)}`).join(', '),
			significant(fit.slope),
			significant(fit.intercept),
			// R² is undefined for points without variance.
			Number.isNaN(fit.rSquared) ? '–' : fit.rSquared.toFixed(2),
			significant(fit.spread),
		]),
	);

/** Load that one role puts on an instance at the scale expected in two years. */
export type RoleLoad = Readonly<{
	role: string;
	mechanism: string;
	/** Experiment whose slopes apply to the role. */
	experiment: string;
	/** Size of the role's load on one instance. */
	size: number;
	per: string;
}>;

const perInstance = (total: number): number => total / TARGET.instances;

const JOB_RATE = TARGET.jobsPerDay / SECONDS_PER_DAY;

const CHANGE_RATE = TARGET.changesPerDay / SECONDS_PER_DAY;

/** Roles and the load of each on one instance. Rates are those of the whole service, because every change is replicated to each instance. */
const ROLES: readonly RoleLoad[] = [
	{
		role: 'worker link',
		mechanism: 'one long-poll report and one lease renewal for each worker of an owned rack',
		experiment: 'workers',
		size: perInstance(TARGET.workers),
		per: 'workers',
	},
	{
		role: 'membership and relay',
		mechanism: 'heartbeats, pushed changes, anti-entropy between instances',
		experiment: 'instances',
		size: TARGET.instances,
		per: 'instances',
	},
	{
		role: 'configuration relay',
		mechanism: 'one bundle by compare-and-swap, pushed over TCP',
		experiment: 'changes',
		size: CHANGE_RATE,
		per: 'changes/s',
	},
	{
		role: 'entry and job-shard owner',
		mechanism: 'group commit into 16 shards, assignment before start',
		experiment: 'jobs',
		size: JOB_RATE,
		per: 'jobs/s',
	},
	{
		role: 'rack owner',
		mechanism: 'reconcile of each placement on change and every 500 ms',
		experiment: 'tasks',
		size: TARGET.runningTasks,
		per: 'tasks of the service',
	},
	{
		role: 'planner',
		mechanism: 'placement pass on change and every 500 ms on one instance',
		experiment: 'waiting',
		size: TARGET.waitingJobs,
		per: 'waiting jobs',
	},
];

const extrapolation = (fit: Fit, size: number): string =>
	size > fit.maxSize ? `${significant(size / fit.maxSize)}x beyond` : 'within';

/** Load that a role adds: slope times size. The fixed cost of a process is counted once, in the totals. */
const addedLoad = (fit: Fit, size: number): number => Math.max(0, fit.slope) * size;

/** Renders the load that each role adds to an instance. */
export const roleTable = (series: readonly Series[]): string =>
	table(
		['role', 'mechanism', 'size on one instance', 'CPU (core)', 'B/s', 'memory (B)', 'measured range'],
		ROLES.map(({role, mechanism, experiment, size, per}) => {
			const cpu = fitOf(series, `${experiment}/cpu`);
			return [
				role,
				mechanism,
				`${significant(size)} ${per}`,
				significant(addedLoad(cpu, size)),
				significant(addedLoad(fitOf(series, `${experiment}/bytes`), size)),
				significant(addedLoad(fitOf(series, `${experiment}/memory`), size)),
				extrapolation(cpu, size),
			];
		}),
	);

const RESOURCES = [
	{kind: 'cpu', label: 'CPU of an instance (core)', limit: LIMITS.cpu},
	{kind: 'bytes', label: 'bytes per second of an instance', limit: LIMITS.bytesPerSecond},
	{kind: 'memory', label: 'memory of an instance (B)', limit: LIMITS.memory},
] as const;

/** Renders the totals per instance. The fixed cost is the fit of the workers experiment, which runs a single instance, at 0 workers. */
export const totalTable = (series: readonly Series[]): string =>
	table(
		['total at the size in two years', 'fixed', 'roles', 'total', 'limit', 'share of the limit'],
		RESOURCES.map(({kind, label, limit}) => {
			const fixed = Math.max(0, valueAt(fitOf(series, `workers/${kind}`), 0));
			const roles = ROLES.reduce(
				(sum, {experiment, size}) => sum + addedLoad(fitOf(series, `${experiment}/${kind}`), size),
				0,
			);
			const total = fixed + roles;
			return [
				label,
				significant(fixed),
				significant(roles),
				significant(total),
				significant(limit),
				`${Math.round((total / limit) * 100)}%${total > limit ? ', over the limit' : ''}`,
			];
		}),
	);

const STORE_SOURCES = [
	{source: 'instances', size: TARGET.instances, per: 'instances'},
	{source: 'changes', size: CHANGE_RATE, per: 'changes/s'},
	{source: 'jobs', size: JOB_RATE, per: 'jobs/s'},
] as const;

/** Renders the store calls of the whole service. */
export const storeTable = (series: readonly Series[]): string => {
	const rows = STORE_SOURCES.map(({source, size, per}) => {
		const writes = fitOf(series, `${source}/store-writes`);
		const reads = fitOf(series, `${source}/store-reads`);
		return {label: `${significant(size)} ${per}`, writes: addedLoad(writes, size), reads: addedLoad(reads, size)};
	});
	const fixedReads = Math.max(0, valueAt(fitOf(series, 'instances/store-reads'), 0));
	const total = (pick: (row: (typeof rows)[number]) => number) => rows.reduce((sum, row) => sum + pick(row), 0);
	const bundleBytes =
		valueAt(fitOf(series, 'bundle/customers'), TARGET.customers) +
		fitOf(series, 'bundle/workers').slope * TARGET.workers;
	return [
		table(
			['source', 'writes/s', 'reads and watches/s'],
			[
				...rows.map((row) => [row.label, significant(row.writes), significant(row.reads)]),
				['fixed', '0', significant(fixedReads)],
				['total', significant(total((row) => row.writes)), significant(total((row) => row.reads) + fixedReads)],
				['limit', `${LIMITS.storeWritesPerSecond} (several hundred)`, significant(LIMITS.storeReadsPerSecond)],
			],
		),
		'',
		`Bundle at 120 customers and 890 workers: ${significant(bundleBytes)} B of 983,040 B.`,
	].join('\n');
};
