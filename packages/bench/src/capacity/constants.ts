import type {Scale} from './types.js';

export const FULL_SCALE: Scale = {
	windowMs: 8000,
	settleMs: 3000,
	workers: [16, 32, 64, 128],
	instances: [2, 4, 8, 16],
	changesPerSecond: [0.5, 1, 2, 4],
	jobsPerSecond: [2, 4, 8, 16],
	requestsPerSecond: [50, 100, 200, 400],
	runningTasks: [32, 64, 128, 256],
	waitingJobs: [125, 250, 500, 1000],
};

export const QUICK_SCALE: Scale = {
	...FULL_SCALE,
	windowMs: 400,
	settleMs: 100,
	workers: [8, 16, 32, 64],
	instances: [1, 2, 4, 8],
};

/** Number of instances in experiments that vary another size. */
export const BASE_INSTANCES = 3;

/** Number of workers in experiments that vary another size. */
export const BASE_WORKERS = 32;

export const WORKERS_PER_RACK = 8;

/** Run time of jobs that must outlast the measurement. */
export const ENDLESS_RUN_MS = 3_600_000;

/** Scale that the service is designed for; see docs/design.md, section 2.6. */
export const TARGET = {
	workers: 890,
	accelerators: 1600,
	jobsPerDay: 1200,
	runningTasks: 3200,
	customers: 120,
	changesPerDay: 300,
	regions: 3,
	availabilityZones: 8,
	/** Three in each availability zone. */
	instances: 24,
	restartsPerDay: 90,
	failuresPerDay: 9,
	waitingJobs: 1000,
} as const;

/** Resource budget of one instance, load limits of the store, and the start time of urgent jobs. */
export const LIMITS = {
	/** CPU cores. */
	cpu: 0.017,
	memory: 256 * 1024 * 1024,
	bytesPerSecond: 30 * 1024,
	storeWritesPerSecond: 300,
	storeReadsPerSecond: 2000,
	urgentStartMs: 1100,
} as const;

export const SECONDS_PER_DAY = 86_400;
