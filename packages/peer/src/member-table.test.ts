import t from 'tap';
import {mergeHeartbeat, applySilenceTimeouts, mergeUpdate, newEntry, isPurgeable} from './member-table.js';
import type {Health, Heartbeat} from './types.js';

const heartbeat = (beat: number, incarnation = 1): Heartbeat => ({
	id: 'q2',
	incarnation,
	beat,
	address: '127.0.0.1:1',
	state: 'live',
	generation: 1,
	revision: 1,
	availabilityZone: 'a',
	workersDown: [],
});

const alive = (beat: number, nowMs = 10_000) =>
	mergeHeartbeat(newEntry('q2', '127.0.0.1:1', 0), heartbeat(beat), nowMs).entry;

const update = (health: Health, beat: number, silentMs = 1500, incarnation = 1) => ({
	heartbeat: heartbeat(beat, incarnation),
	health,
	silentMs,
});

// Guards against a member that is declared dead after one lost heartbeat, and against a failed member that is never declared dead.
await t.test('a member without heartbeats is suspect after 1.5 s and dead after 3 s', async (t) => {
	const member = alive(5);
	t.equal(applySilenceTimeouts(member, 0, 11_400).entry.health, 'alive');
	const {entry: suspect, shouldDisseminate} = applySilenceTimeouts(member, 0, 11_500);
	t.match({suspect, shouldDisseminate}, {suspect: {health: 'suspect', silentSinceMs: 10_000}, shouldDisseminate: true});
	t.equal(applySilenceTimeouts(suspect, 0, 12_900).entry.health, 'suspect');
	t.equal(applySilenceTimeouts(suspect, 0, 13_000).entry.health, 'dead');
});

// Guards against declaring a member dead that only other instances observe.
await t.test('a member that is not observed locally is declared dead only after a gossiped suspicion', async (t) => {
	const member = alive(5);
	t.equal(applySilenceTimeouts(member, undefined, 99_000).entry.health, 'alive');
	const {entry} = mergeUpdate(member, update('suspect', 6), 20_000);
	t.match(entry, {health: 'suspect', silentSinceMs: 18_500});
	t.equal(applySilenceTimeouts(entry, undefined, 21_500).entry.health, 'dead', '3 s after the last heartbeat');
});

// Guards against a suspicion that persists after the heartbeat that refutes it.
await t.test('a later beat refutes a suspicion and an earlier one does not', async (t) => {
	const {entry: suspect} = mergeUpdate(alive(5), update('suspect', 6), 20_000);
	t.equal(mergeUpdate(suspect, update('alive', 6), 20_000).entry.health, 'suspect');
	t.equal(mergeUpdate(suspect, update('alive', 7), 20_000).entry.health, 'alive');
	const {entry, shouldDisseminate} = mergeUpdate(alive(8), update('dead', 6), 20_000);
	t.match(
		{entry, shouldDisseminate},
		{entry: {health: 'alive'}, shouldDisseminate: true},
		'the refuting heartbeat is disseminated',
	);
});

// Guards against a late message of the previous incarnation that overrides the restarted instance, and against one that revives a dead instance.
await t.test('only a later incarnation or beat revives a member', async (t) => {
	const {entry: restarted} = mergeHeartbeat(alive(50), heartbeat(1, 2), 11_000);
	t.equal(mergeHeartbeat(restarted, heartbeat(51, 1), 11_100).entry, restarted);
	const {entry: dead} = mergeUpdate(restarted, update('dead', 1, 3000, 2), 15_000);
	t.equal(mergeUpdate(dead, update('alive', 1, 0, 2), 15_100).entry.health, 'dead');
	t.equal(mergeUpdate(dead, update('alive', 1, 0, 3), 15_100).entry.health, 'alive');
	t.equal(isPurgeable(dead, 30_000), false, 'the entry is retained while late messages may arrive');
	t.equal(isPurgeable(dead, 90_000), true);
});
