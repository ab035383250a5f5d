import {
	BUDGET_SHARE,
	BYTES_PER_MB,
	CONNECTION_BYTES,
	CONNECTION_MEMORY_SHARE,
	CONNECTION_SHARE,
	DEFAULT_LIMITS,
	FILE_DESCRIPTORS,
	MAX_BUDGET_BYTES,
	MIN_BUDGET_BYTES,
	MIN_CONNECTIONS,
	REQUEST_BYTES,
	RESERVE_SHARE,
} from './constants.js';
import type {IngressLimits, MachineResources} from './types.js';

const clamp = (value: number, min: number, max: number): number => Math.floor(Math.min(max, Math.max(min, value)));

/** Limits that follow from the machine; what is not known sets no limit. */
const deriveLimits = ({memoryMb, maxFiles, usedBytes, usedHeapBytes, heapLimitBytes}: MachineResources) => {
	const freeBytes = memoryMb === undefined ? Number.POSITIVE_INFINITY : memoryMb * BYTES_PER_MB - usedBytes;
	const budgetBytes = clamp(
		Math.min(freeBytes, heapLimitBytes - usedHeapBytes) * BUDGET_SHARE,
		MIN_BUDGET_BYTES,
		MAX_BUDGET_BYTES,
	);
	const forCallers =
		maxFiles === undefined ? Number.POSITIVE_INFINITY : (maxFiles - FILE_DESCRIPTORS) * CONNECTION_SHARE;
	return {
		budgetBytes,
		maxConnections: clamp(
			Math.min(forCallers, (freeBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES),
			MIN_CONNECTIONS,
			DEFAULT_LIMITS.maxConnections,
		),
	};
};

const checkLimits = (limits: IngressLimits): void => {
	const {budgetBytes, reserveBytes, customerShare, sourceShare} = limits;
	if (budgetBytes < MIN_BUDGET_BYTES) {
		throw new Error(`limits: budgetBytes is ${budgetBytes}; it must be at least ${MIN_BUDGET_BYTES}`);
	}

	for (const [name, value] of Object.entries(limits)) {
		if (!Number.isFinite(value) || value <= 0) {
			throw new Error(`limits: ${name} is ${value}; it must be above 0`);
		}
	}

	if (reserveBytes >= budgetBytes) {
		throw new Error(`limits: reserveBytes is ${reserveBytes}; it must be below budgetBytes, which is ${budgetBytes}`);
	}

	if (customerShare > 1 || sourceShare > 1) {
		throw new Error('limits: customerShare and sourceShare must be at most 1');
	}
};

/**
Returns the limits of a process: those that are set, then those that follow from its machine, then the defaults.

@example
```ts
const limits = createLimits({memoryMb: 350, usedBytes, usedHeapBytes, heapLimitBytes}, {maxPipelined: 16});
```

@throws {Error} that names a limit that is not allowed.
*/
export const createLimits = (machine: MachineResources, set: Partial<IngressLimits> = {}): IngressLimits => {
	const derived = {...DEFAULT_LIMITS, ...deriveLimits(machine), ...set};
	const {budgetBytes} = derived;
	const limits = {
		...derived,
		reserveBytes: budgetBytes * RESERVE_SHARE,
		maxUnanswered: Math.floor(budgetBytes / REQUEST_BYTES),
		...set,
	};
	checkLimits(limits);
	return limits;
};
