import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {Term} from '../election.js';
import {BACKLOG_KEY, LEADER_KEY} from '../keys.js';
import type {ActiveJob} from '../active-job.js';
import {DEFAULT_POLICY} from '../policy.js';
import {newActiveJob} from '../test/active-job.js';
import {newWorker} from '../test/cluster.js';
import {createMemoryKeyValue} from '../test/memory-key-value.js';
import {BACKLOG_WRITE_MS, FLEET_SETTLED_MS} from './constants.js';
import {decodeBacklog, publishBacklog} from './publish-backlog.js';

const LIMIT_BYTES = 16 * 1024 * 1024;

// Guards against a backlog that is written all the time, that lags behind a burst, or that a former leader overwrites.
await t.test('the backlog is published when it has changed by a level, and by the leader only', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const store = createMemoryKeyValue();
	store.put(LEADER_KEY, new Uint8Array(1));
	// That of the leader before.
	store.put(BACKLOG_KEY, new TextEncoder().encode('{"bytes":5}'));
	const controller = new AbortController();
	const term: Term = {
		number: 2,
		leaderRevision: (await store.get(LEADER_KEY))!.revision,
		isValid: () => true,
		abandon() {
			controller.abort();
		},
		signal: controller.signal,
	};
	const activeJobs = new Map<string, ActiveJob>();
	const done = publishBacklog({
		store,
		term,
		state: {
			activeJobs,
			directory: new Map([['w1', newWorker('w1')]]),
			latestView: {view: undefined},
			policy: DEFAULT_POLICY,
		},
		limitBytes: LIMIT_BYTES,
		log: createSilentLog(),
		metrics: createMetrics(),
		now: () => Date.now(),
		signal: controller.signal,
	});
	const read = async () => {
		await clock.tickAsync(2 * BACKLOG_WRITE_MS);
		const item = await store.get(BACKLOG_KEY);
		return {revision: item!.revision, ...decodeBacklog(item!.value)};
	};

	const first = await read();
	t.match(first, {bytes: 0, limitBytes: LIMIT_BYTES, largestWorkers: {}});
	activeJobs.set('a', newActiveJob());
	const second = await read();
	t.equal(second.revision, first.revision, 'a small job changes nothing');
	activeJobs.set('b', newActiveJob({steps: [newStep({count: 5000})]}));
	const third = await read();
	t.ok(third.bytes! >= 4 * 1024 * 1024);
	activeJobs.get('b')!.outcome = 'completed';
	const fourth = await read();
	t.equal(fourth.bytes, 0);
	await clock.tickAsync(FLEET_SETTLED_MS);
	const settled = await read();
	t.match(settled.largestWorkers, {matching: [{accelerators: 8}]});

	store.put(LEADER_KEY, new Uint8Array(1));
	const last = await read();
	activeJobs.set('c', newActiveJob({steps: [newStep({count: 5000})]}));
	const later = await read();
	t.equal(later.revision, last.revision, 'another instance leads');
	controller.abort();
	await clock.tickAsync(BACKLOG_WRITE_MS);
	await done;
});

// Guards against an instance that fails at the record of another version.
await t.test('a backlog that cannot be read counts as none', async (t) => {
	for (const text of ['', '{}', '{"bytes":"many"}', 'null', '[]']) {
		t.equal(decodeBacklog(new TextEncoder().encode(text)), undefined);
	}
});
