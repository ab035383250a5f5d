import t from 'tap';
import {planWave, type WaveView} from './plan-wave.js';
import type {Machine, WaveRecord} from './types.js';

const machine = (id: string, state: Machine['state'] = 'up'): Machine => ({
	id,
	pool: 'matching',
	state,
	workerId: `w-${id}`,
});

const RECORD: WaveRecord = {startedMs: 0, ordered: [], done: []};

/** A wave over four machines, two at a time, in 20 s. */
const view = (change: Partial<WaveView> = {}): WaveView => ({
	wave: {number: 1, machineIds: ['a', 'b', 'c', 'd'], durationMs: 20_000, maxDown: 2},
	record: RECORD,
	machines: new Map(['a', 'b', 'c', 'd'].map((id) => [id, machine(id)])),
	drainDeadlines: new Map(),
	lostWorkOf: () => 0,
	isProtected: () => false,
	nowMs: 0,
	wallClockMs: 0,
	maintenanceMs: 2000,
	...change,
});

// Guards against more machines down at the same time than the wave allows.
await t.test('maintenance starts on no more machines than the wave allows', async (t) => {
	t.same(planWave(view()).start, ['a', 'b']);
	t.same(planWave(view({record: {...RECORD, ordered: ['a']}})).start, ['b']);
	t.same(planWave(view({record: {...RECORD, ordered: ['a', 'b']}})).start, []);
	const unknown = new Map([...view().machines, ['d', machine('d', 'upkeep')] as const]);
	t.same(planWave(view({machines: unknown})).start, ['a'], 'a machine that is down by an unrecorded order counts');
});

// Guards against work being lost with busy machines that a wave takes down.
await t.test('busy machines are drained first, in the order of the work that would be lost', async (t) => {
	const lostWork: Readonly<Record<string, number>> = {a: 900, b: 10, c: 500, d: 0};
	const {drain, start} = planWave(view({lostWorkOf: ({id}) => lostWork[id]!}));
	t.same(start, ['d']);
	t.same([...drain.keys()], ['b']);
});

await t.test('a busy machine goes down when its drain deadline has passed', async (t) => {
	const drainDeadlines = new Map([['c', 5000]]);
	const options = {lostWorkOf: () => 100, drainDeadlines};
	t.same(planWave(view({...options, nowMs: 4999})).start, []);
	t.same(planWave(view({...options, nowMs: 5000})).start, ['c']);
});

// Guards against maintenance that stops more units of a long-running step than its caller allows to be absent.
await t.test('a machine with protected units stays up even after its drain deadline', async (t) => {
	const options = {lostWorkOf: () => 100, drainDeadlines: new Map([['a', 0]]), nowMs: 60_000, wallClockMs: 60_000};
	t.same(planWave(view({...options, isProtected: ({id}) => id === 'a'})).start, ['b']);
});

// Guards against a wave that is reported as completed while the maintenance of a machine is still due.
await t.test('a wave is completed when each machine is up again or removed', async (t) => {
	t.equal(planWave(view({record: {...RECORD, done: ['a', 'b', 'c', 'd']}})).isCompleted, true);
	t.equal(planWave(view({record: {...RECORD, done: ['a', 'b', 'c'], ordered: ['d']}})).isCompleted, false);
	const without = new Map([...view().machines].filter(([id]) => id !== 'd'));
	t.equal(planWave(view({machines: without, record: {...RECORD, done: ['a', 'b', 'c']}})).isCompleted, true);
	const down = new Map([...view().machines, ['d', machine('d', 'down')] as const]);
	t.equal(planWave(view({machines: down, record: {...RECORD, done: ['a', 'b', 'c']}})).isCompleted, false);
});
