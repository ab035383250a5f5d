import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import type {Test} from 'tap';
import {createJobService} from '../job-service.js';
import {createStoreHealth} from '../store-health.js';
import {BOUNDS, QUEUE} from './cluster.js';
import {createMemoryKeyValue} from './memory-key-value.js';

/** Two instances that serve callers from one store, on a fake clock; `calls` counts their store calls by kind, and `hooks` are called during them. */
export const createJobServices = (t: Test) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const store = createMemoryKeyValue();
	const calls = {grantLease: 0, transact: 0, list: 0};
	const hooks: {afterListing?: () => void} = {};
	const counted = {
		...store,
		async grantLease(ttlMs: number) {
			calls.grantLease += 1;
			return store.grantLease(ttlMs);
		},
		async transact(transaction: Parameters<typeof store.transact>[0]) {
			calls.transact += 1;
			return store.transact(transaction);
		},
		async list(prefix: string) {
			calls.list += 1;
			const listing = await store.list(prefix);
			hooks.afterListing?.();
			return listing;
		},
	};
	/** Two instances on one store. */
	const [front, other] = [0, 1].map(() =>
		createJobService({
			store: counted,
			health: createStoreHealth(),
			bounds: BOUNDS,
			log: createSilentLog(),
			metrics: createMetrics(),
		}),
	);
	const request = {queue: QUEUE, customer: 'acme', submission: newSubmission(1, [newStep()])};
	return {clock, store, calls, hooks, front: front!, other: other!, request};
};
