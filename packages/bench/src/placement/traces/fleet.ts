import type {Bundle, Customer, Guarantee, JobClass, Rack, Weights} from '@bergamotgauge/model';

const jobClass = (name: string, changes: Partial<JobClass>): JobClass => ({
	name,
	urgency: 'normal',
	preemptible: true,
	checkpointSeconds: 5,
	retryRule: 'idempotent',
	defaultDeadlineSeconds: 86_400,
	maxAttempts: 3,
	...changes,
});

export const CLASSES: readonly JobClass[] = [
	jobClass('urgent', {urgency: 'urgent', preemptible: false}),
	jobClass('render', {}),
	jobClass('batch', {urgency: 'batch', checkpointSeconds: 10}),
	jobClass('non-preemptible', {preemptible: false}),
	jobClass('scratch', {checkpointSeconds: 0}),
	jobClass('once', {preemptible: false, retryRule: 'at-most-once'}),
];

type RackShape = Readonly<{workers: number; accelerators: number; availabilityZone: string}>;

const createRack = (index: number, {workers, accelerators, availabilityZone}: RackShape): Rack => ({
	name: `r${index}`,
	pool: 'pool',
	availabilityZone,
	workers: Array.from({length: workers}, (_, position) => ({
		name: `r${index}w${position}`,
		rack: `r${index}`,
		position,
		address: 'http://127.0.0.1:1',
		availabilityZone,
		cores: 130,
		memoryGigabytes: 250,
		accelerators,
		guards: true,
		labels: {},
	})),
});

const createCustomer = (name: string, partner: string, accelerators: number): Customer => ({
	name,
	partner,
	weight: 1,
	labels: {},
	quota: {accelerators, queuedJobs: 10_000, concurrentRequests: 100, queuedRequests: 100},
});

const createGuarantee = (customer: string, count: number, accelerators: number): Guarantee => ({
	name: `${customer}-${accelerators}`,
	customer,
	count,
	accelerators,
	workerSelector: {},
});

type FleetShape = Readonly<{
	partner: string;
	weights: Weights;
	racks: readonly Rack[];
	customers: readonly Customer[];
	guarantees: readonly Guarantee[];
}>;

const createBundle = ({partner, weights, racks, customers, guarantees}: FleetShape): Bundle => ({
	generation: 1,
	customers,
	guarantees,
	jobClasses: CLASSES,
	pools: [{name: 'pool', weights, shares: [{partner, share: 1}]}],
	placementRules: [],
	racks,
	services: [],
	tokens: [],
});

/** Four racks of 8, 8, 7 and 7 workers in three availability zones. */
const partnerRacks = (): Rack[] =>
	[8, 8, 7, 7].map((workers, index) =>
		createRack(index, {workers, accelerators: 8, availabilityZone: `z${index % 3}`}),
	);

const partnerBundle = (partner: string, weights: Weights, shapes: ReadonlyArray<readonly [number, number]>): Bundle => {
	const names = shapes.map((_, index) => `${partner}-${index}`);
	return createBundle({
		partner,
		weights,
		racks: partnerRacks(),
		customers: names.map((name) => createCustomer(name, partner, 160)),
		guarantees: shapes.map(([count, accelerators], index) => createGuarantee(names[index]!, count, accelerators)),
	});
};

export const quebecBundle = (): Bundle =>
	partnerBundle('quebec', {completionTime: 0.8, fragmentation: 0.2}, [
		[2, 16],
		[2, 8],
		[1, 16],
		[1, 8],
	]);

export const limaBundle = (): Bundle =>
	partnerBundle('lima', {completionTime: 0.3, fragmentation: 0.7}, [
		[2, 16],
		[1, 16],
		[2, 8],
		[1, 16],
	]);

/** 890 workers with 1,600 accelerators in total and 120 customers, scaled by a factor. */
export const twoYearBundle = (scale = 1): Bundle => {
	const racks = [
		...Array.from({length: Math.round(25 * scale)}, () => [8, 8] as const),
		...Array.from({length: Math.round(86 * scale)}, () => [8, 0] as const),
		[2, 0] as const,
	].map(([workers, accelerators], index) =>
		createRack(index, {workers, accelerators, availabilityZone: `z${index % 8}`}),
	);
	const customers = Array.from({length: Math.round(120 * scale)}, (_, index) =>
		createCustomer(`team-${index}`, 'quebec', 64),
	);
	const guarantees = customers
		.filter((_, index) => index % 3 === 0)
		.map(({name}, index) => createGuarantee(name, 1, index % 5 === 0 ? 16 : 8));
	return createBundle({
		partner: 'quebec',
		weights: {completionTime: 0.5, fragmentation: 0.5},
		racks,
		customers,
		guarantees,
	});
};
