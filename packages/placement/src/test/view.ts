import type {
	Bundle,
	Customer,
	Guarantee,
	JobClass,
	JobRecord,
	Placement,
	Rack,
	RackRecord,
	WorkerQuarantine,
} from '@bergamotgauge/model';
import type {Decision, PlacementView} from '../types.js';

/** Racks `r0`, `r1`, … of workers `r0w0`, `r0w1`, … with eight accelerators each. */
export const testRacks = (count: number, workers: number): Rack[] =>
	Array.from({length: count}, (_, rack) => ({
		name: `r${rack}`,
		pool: 'pool',
		availabilityZone: 'a',
		workers: Array.from({length: workers}, (_, position) => ({
			name: `r${rack}w${position}`,
			rack: `r${rack}`,
			position,
			address: 'http://127.0.0.1:1',
			availabilityZone: 'a',
			cores: 128,
			memoryGigabytes: 256,
			accelerators: 8,
			guards: true,
			labels: {rackNumber: String(rack)},
		})),
	}));

const jobClass = (name: string, changes: Partial<JobClass>): JobClass => ({
	name,
	urgency: 'normal',
	preemptible: true,
	checkpointSeconds: 5,
	retryRule: 'idempotent',
	defaultDeadlineSeconds: 3600,
	maxAttempts: 3,
	...changes,
});

export const testClasses: readonly JobClass[] = [
	jobClass('non-preemptible', {preemptible: false}),
	jobClass('batch', {urgency: 'batch'}),
	jobClass('urgent', {urgency: 'urgent', preemptible: false}),
	jobClass('once', {retryRule: 'at-most-once', checkpointSeconds: 0}),
	jobClass('once-saved', {retryRule: 'at-most-once'}),
];

export const testCustomer = (name: string, partner = name, accelerators = 1000): Customer => ({
	name,
	partner,
	weight: 1,
	labels: {},
	quota: {accelerators, queuedJobs: 1000, concurrentRequests: 10, queuedRequests: 10},
});

export const testGuarantee = (customer: string, count: number, accelerators: number): Guarantee => ({
	name: `${customer}-${accelerators}`,
	customer,
	count,
	accelerators,
	workerSelector: {},
});

export const testBundle = (changes: Partial<Bundle>): Bundle => ({
	generation: 1,
	customers: [testCustomer('a'), testCustomer('b')],
	guarantees: [],
	jobClasses: testClasses,
	pools: [],
	placementRules: [],
	racks: testRacks(1, 2),
	services: [],
	tokens: [],
	...changes,
});

export const testJob = (
	id: string,
	[customer, jobClassName, accelerators]: readonly [customer: string, jobClass: string, accelerators: number],
	changes: Partial<JobRecord> = {},
): JobRecord => ({
	id,
	customer,
	jobClass: jobClassName,
	labels: {},
	accelerators,
	coresPerAccelerator: 1,
	memoryGigabytesPerAccelerator: 1,
	declaredSeconds: 600,
	workerSelector: {},
	payload: {},
	submittedAtMs: 0,
	attempt: 1,
	failedOn: [],
	cancelRequested: false,
	state: 'queued',
	ranSeconds: 0,
	...changes,
});

export const testView = (bundle: Bundle, jobs: readonly JobRecord[] = []): PlacementView => ({
	bundle,
	racks: new Map(),
	jobs,
	workersDown: new Set(),
	nowMs: 0,
});

const changeRecord = (view: PlacementView, rack: string, change: (record: RackRecord) => Partial<RackRecord>) => {
	const record = view.racks.get(rack) ?? {rack, epoch: 0, homes: [], placements: [], quarantines: []};
	const next: RackRecord = {...record, epoch: record.epoch + 1, ...change(record)};
	return {...view, racks: new Map(view.racks).set(rack, next)};
};

/** Applies a decision to the view's records as an instance does. */
export const applyDecision = (view: PlacementView, decision: Decision): PlacementView => {
	switch (decision.kind) {
		case 'place': {
			return changeRecord(view, decision.rack, ({placements, epoch}) => ({
				placements: [...placements, {...decision.placement, token: epoch + 1}],
			}));
		}

		case 'evict': {
			return changeRecord(view, decision.rack, ({placements}) => ({
				placements: placements.map((placement) =>
					placement.job === decision.job
						? {...placement, phase: 'evicting', expectedEndMs: view.nowMs + decision.graceMs}
						: placement,
				),
			}));
		}

		case 'homes': {
			return changeRecord(view, decision.rack, () => ({homes: decision.homes}));
		}

		case 'end': {
			return {...view, jobs: view.jobs.filter(({id}) => id !== decision.job)};
		}

		case 'wait': {
			return view;
		}
	}
};

export const applyAll = (view: PlacementView, decisions: readonly Decision[]): PlacementView => {
	let next = view;
	for (const decision of decisions) {
		next = applyDecision(next, decision);
	}

	return next;
};

/** Removes the placements for which `isReleased` holds and starts the next attempt of their jobs. */
export const release = (view: PlacementView, isReleased: (placement: Placement) => boolean): PlacementView => {
	const released = new Set<string>();
	let next = view;
	for (const [rack, {placements}] of view.racks) {
		for (const placement of placements.filter((candidate) => isReleased(candidate))) {
			released.add(placement.job);
		}

		next = changeRecord(next, rack, () => ({placements: placements.filter(({job}) => !released.has(job))}));
	}

	return {
		...next,
		jobs: next.jobs.map((job) => (released.has(job.id) ? {...job, attempt: job.attempt + 1} : job)),
	};
};

export const withQuarantines = (view: PlacementView, rack: string, quarantines: readonly WorkerQuarantine[]) =>
	changeRecord(view, rack, () => ({quarantines}));
