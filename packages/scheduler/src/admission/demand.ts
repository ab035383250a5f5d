import {fits, NO_RESOURCES, addResources} from '../plan/resources.js';
import type {PlanPart, PlanView, PlanWorker} from '../plan/types.js';
import {isExpiredRank} from '../rank.js';
import type {Resources} from '../types.js';
import {CAPACITY_WINDOW_MS, DEMAND_MIN_WAIT_MS, MAX_DEMAND_ENTRIES} from './constants.js';

/** Units that wait, of one shape, priority and customer, with objectives of a similar distance. */
export type DemandEntry = Readonly<{
	priority: number;
	customer: string;
	label: string | undefined;
	need: Resources;
	/** Expected run time of all units, in milliseconds. */
	unitMs: number;
	/** Longest time until the objective of one of the jobs, in milliseconds. */
	dueInMs: number;
}>;

/** Work that waits for the workers of a service, and their capacity. */
export type Demand = Readonly<{capacity: Resources; entries: readonly DemandEntry[]}>;

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/**
Least time in which workers of a capacity can do the work, in milliseconds: in the dimension that takes longest.

@example
```ts
drainMs(capacity, entries);
```
*/
export const drainMs = (capacity: Resources, entries: readonly DemandEntry[]): number =>
	Math.max(
		0,
		...DIMENSIONS.map((dimension) => {
			const work = entries.reduce((sum, {need, unitMs}) => sum + need[dimension] * unitMs, 0);
			return work === 0 || capacity[dimension] === 0 ? 0 : work / capacity[dimension];
		}),
	);

/** Whether the part delays jobs that are submitted now: later than its objective, a part waits behind them, and best-effort and long-running units follow other rules. */
const isAhead = ({isBestEffort, isLongRunning, slackMs, rank}: PlanPart): boolean =>
	!isBestEffort && !isLongRunning && slackMs >= 0 && !isExpiredRank(rank);

const entriesOf = (parts: readonly PlanPart[]): readonly DemandEntry[] => {
	const entries = new Map<string, DemandEntry>();
	for (const {priority, customer, requiredLabel: label, need, members, estimateMs, slackMs} of parts) {
		const dueInMs = slackMs + estimateMs;
		// Entries by powers of two, so that those with later objectives can be left out.
		const key = JSON.stringify([priority, customer, label, need, Math.ceil(Math.log2(1 + dueInMs))]);
		const known = entries.get(key) ?? {priority, customer, label, need, unitMs: 0, dueInMs: 0};
		entries.set(key, {
			...known,
			unitMs: known.unitMs + members * estimateMs,
			dueInMs: Math.max(known.dueInMs, dueInMs),
		});
	}

	return [...entries.values()].toSorted((a, b) => b.unitMs - a.unitMs).slice(0, MAX_DEMAND_ENTRIES);
};

const usableCapacity = (workers: readonly PlanWorker[]): Resources => {
	let sum = NO_RESOURCES;
	for (const {capacity} of workers.filter(({isUsable}) => isUsable)) {
		sum = addResources(sum, capacity);
	}

	return sum;
};

/** Follows the demand of a term. */
export type DemandObserver = (view: PlanView) => Readonly<Record<string, Demand>>;

/**
Creates the observer of a term, which returns the demand of services on which work waits for long. Capacity counts as the largest that was usable within some seconds, so that workers which a new leader has not reached yet, or that pause, are not taken for missing; what an outage or an evacuation takes away for longer is. Until that time has passed, no demand is known.

@example
```ts
const observe = createDemandObserver();
const demand = observe(view);
```
*/
export const createDemandObserver = (): DemandObserver => {
	const history = new Map<string, ReadonlyArray<Readonly<{atMs: number; capacity: Resources}>>>();
	let firstMs: number | undefined;

	const largestCapacity = (service: string, capacity: Resources, nowMs: number): Resources => {
		const recent = [...(history.get(service) ?? []), {atMs: nowMs, capacity}].filter(
			({atMs}) => nowMs - atMs <= CAPACITY_WINDOW_MS,
		);
		history.set(service, recent);
		const largest = (dimension: keyof Resources) => Math.max(...recent.map((sample) => sample.capacity[dimension]));
		return {
			cpuMillis: largest('cpuMillis'),
			memoryMb: largest('memoryMb'),
			accelerators: largest('accelerators'),
		};
	};

	return ({workers, parts, nowMs}) => {
		firstMs ??= nowMs;
		const demands: Record<string, Demand> = {};
		for (const service of new Set(workers.map((worker) => worker.service))) {
			const usable = usableCapacity(workers.filter((worker) => worker.service === service));
			const capacity = largestCapacity(service, usable, nowMs);
			const entries = entriesOf(parts.filter((part) => part.service === service && isAhead(part)));
			if (nowMs - firstMs > CAPACITY_WINDOW_MS && drainMs(capacity, entries) >= DEMAND_MIN_WAIT_MS) {
				demands[service] = {capacity, entries};
			}
		}

		return demands;
	};
};

/** What a job needs that is to be admitted, and for whom. */
export type Claim = Readonly<{
	priority: number;
	customer: string;
	objectiveMs: number;
	steps: ReadonlyArray<Resources & Readonly<{requiredLabel: string | undefined; after: readonly number[]}>>;
}>;

/**
Least time for which a job that is submitted now waits, in milliseconds. Only work counts that certainly goes first: units that fit wherever the job's units fit, of a higher priority, or of the same priority and customer with an earlier objective. So the burst of one customer delays its own jobs in this figure and not those of others with the same priority.

@example
```ts
leastWaitMs(demand, {priority: 1, customer: 'acme', objectiveMs: 4000, steps});
```
*/
export const leastWaitMs = ({capacity, entries}: Demand, {priority, customer, objectiveMs, steps}: Claim): number => {
	const goesFirst = (entry: DemandEntry): boolean =>
		entry.priority < priority ||
		(entry.priority === priority && entry.customer === customer && entry.dueInMs <= objectiveMs);
	return Math.max(
		0,
		...steps
			.filter(({after}) => after.length === 0)
			.map((step) =>
				drainMs(
					capacity,
					entries.filter(
						(entry) =>
							goesFirst(entry) &&
							fits(entry.need, step) &&
							(entry.label === undefined || entry.label === step.requiredLabel),
					),
				),
			),
	);
};
