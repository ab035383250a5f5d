import {Buffer} from 'node:buffer';
import {createMetrics} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {LEADER_KEY, SPEEDS_KEY} from '../keys.js';
import {createMemoryKeyValue, type MemoryKeyValue} from '../test/memory-key-value.js';
import {createRecordedLog} from '../test/recorded-log.js';
import {SPEED_WRITE_MS} from './constants.js';
import {decodeSpeeds, encodeSpeeds, keepSpeeds} from './stored-speeds.js';
import {createWorkerSpeeds, type WorkerSpeeds} from './worker-speeds.js';

const observe = (speeds: WorkerSpeeds, workerId: string, runMs: number) => {
	for (let run = 0; run < 6; run += 1) {
		speeds.observe({workerId, runMs, expectedMs: 2000, compared: 8});
	}
};

const startTerm = (store: MemoryKeyValue, speeds: WorkerSpeeds) => {
	const {log, lines} = createRecordedLog();
	const controller = new AbortController();
	const leaderRevision = store.items().find(({key}) => key === LEADER_KEY)!.revision;
	const ended = keepSpeeds({
		store,
		term: {isValid: () => true, leaderRevision},
		speeds,
		directory: new Map(),
		log,
		metrics: createMetrics(),
		signal: controller.signal,
	});
	return {
		lines,
		async end() {
			controller.abort();
			await ended;
		},
	};
};

const storedSpeeds = (store: MemoryKeyValue) => store.items().find(({key}) => key === SPEEDS_KEY);

// Guards against a change of leader after which a quarter of the fleet makes urgent jobs late again.
await t.test('a new leader knows the speeds that the one before has learned', async (t) => {
	const clock = FakeTimers.install();
	t.teardown(() => {
		clock.uninstall();
	});
	const store = createMemoryKeyValue();
	store.put(LEADER_KEY, Buffer.from('one'));
	const learned = createWorkerSpeeds();
	const first = startTerm(store, learned);
	await clock.tickAsync(SPEED_WRITE_MS + 100);
	t.equal(storedSpeeds(store), undefined, 'nothing is stored while all workers are equally fast');
	observe(learned, 'slow', 3600);
	observe(learned, 'fast', 1800);
	await clock.tickAsync(SPEED_WRITE_MS);
	const {revision} = storedSpeeds(store)!;
	await clock.tickAsync(SPEED_WRITE_MS);
	t.equal(storedSpeeds(store)!.revision, revision, 'no write while nothing changes');
	await first.end();

	store.put(LEADER_KEY, Buffer.from('two'));
	const restored = createWorkerSpeeds();
	const second = startTerm(store, restored);
	await clock.tickAsync(100);
	t.equal(restored.runFactorOf('slow'), learned.runFactorOf('slow'));
	t.match(second.lines, [{event: 'speeds-restored'}, {event: 'worker-speeds'}]);
	observe(learned, 'late', 3600);
	await second.end();

	store.put(LEADER_KEY, Buffer.from('three'));
	store.put(SPEEDS_KEY, Buffer.from('{not json'));
	const third = startTerm(store, createWorkerSpeeds());
	await clock.tickAsync(100);
	t.match(third.lines, [{event: 'speeds-unreadable'}]);
	await third.end();
});

// Guards against a record of another writer or version that would give workers a speed that is no number.
await t.test('rows that are not usable are left out', async (t) => {
	const rows = [
		['w1', 0.5, 0.01],
		['w2', null, 0.01],
		['w3', 0.5, -1],
		'w4',
		[5, 0, 0.1],
		['w6', 0.5, '0.1'],
		['w7', 1000, 0.01],
		['w8', 0.5, true],
	];
	t.same([...decodeSpeeds(Buffer.from(JSON.stringify(rows))).keys()], ['w1']);
	t.same([...decodeSpeeds(Buffer.from('{}')).keys()], []);
	const estimates = new Map([['w1', {mean: 0.123_45, variance: 0.01}]]);
	t.same([...decodeSpeeds(encodeSpeeds(estimates))], [['w1', {mean: 0.123, variance: 0.01}]]);
});
