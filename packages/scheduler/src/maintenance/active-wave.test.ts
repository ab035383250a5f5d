import t from 'tap';
import {drainDeadlinesOf, type ActiveWave} from './active-wave.js';
import type {Machine} from './types.js';

const machines = new Map<string, Machine>(
	['a', 'b', 'c'].map((id) => [id, {id, pool: 'matching', state: 'up', workerId: `w-${id}`} as const]),
);

const waveDraining = (drainDeadlines: ReadonlyMap<string, number>): ActiveWave => ({
	wave: {number: 1, machineIds: ['a', 'b', 'c'], durationMs: 20_000, maxDown: 2},
	record: {startedMs: 0, ordered: [], done: []},
	revision: 1,
	stateRevision: 1,
	drainDeadlines,
	acceptedMs: new Map(),
	isCompleted: false,
});

// Guards against a disruption budget that goes to another machine before the first one is empty, so that neither goes down.
await t.test('drained workers keep their order when others are drained before them', async (t) => {
	const first = drainDeadlinesOf([waveDraining(new Map([['b', 5000]]))], machines, 0, new Map());
	const earlier = waveDraining(new Map([['a', 1000]]));
	const later = waveDraining(
		new Map([
			['c', 2000],
			['b', 6000],
		]),
	);
	const second = drainDeadlinesOf([earlier, later], machines, 0, first);
	t.same(
		[...second],
		[
			['w-b', 6000],
			['w-a', 1000],
			['w-c', 2000],
		],
	);
	t.same([...drainDeadlinesOf([earlier], machines, 0, second).keys()], ['w-a']);
});
