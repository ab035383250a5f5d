import t from 'tap';
import {mergeDirect, mergeSilence, mergeUpdate, newEntry, isForgettable} from './member-table.js';
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
	mergeDirect(newEntry('q2', '127.0.0.1:1', 0), heartbeat(beat), nowMs).entry;

const update = (health: Health, beat: number, silentMs = 1500, incarnation = 1) => ({
	heartbeat: heartbeat(beat, incarnation),
	health,
	silentMs,
});

// Guards against the removal of a member after one lost heartbeat, and against one that is never removed.
await t.test('silence leads to suspicion after 1.5 s and to removal after 3 s', async (t) => {
	const member = alive(5);
	t.equal(mergeSilence(member, 0, 11_400).entry.health, 'alive');
	const {entry: suspect, isNews} = mergeSilence(member, 0, 11_500);
	t.match({suspect, isNews}, {suspect: {health: 'suspect', silentSinceMs: 10_000}, isNews: true});
	t.equal(mergeSilence(suspect, 0, 12_900).entry.health, 'suspect');
	t.equal(mergeSilence(suspect, 0, 13_000).entry.health, 'dead');
});

// Guards against the removal of members that only other instances observe.
await t.test('a member that is not observed here is removed only after a suspicion from elsewhere', async (t) => {
	const member = alive(5);
	t.equal(mergeSilence(member, undefined, 99_000).entry.health, 'alive');
	const {entry} = mergeUpdate(member, update('suspect', 6), 20_000);
	t.match(entry, {health: 'suspect', silentSinceMs: 18_500});
	t.equal(mergeSilence(entry, undefined, 21_500).entry.health, 'dead', '3 s from the start of the silence');
});

// Guards against a suspicion that outlives the sign of life that refutes it.
await t.test('a later beat refutes a suspicion and an earlier one does not', async (t) => {
	const {entry: suspect} = mergeUpdate(alive(5), update('suspect', 6), 20_000);
	t.equal(mergeUpdate(suspect, update('alive', 6), 20_000).entry.health, 'suspect');
	t.equal(mergeUpdate(suspect, update('alive', 7), 20_000).entry.health, 'alive');
	const {entry, isNews} = mergeUpdate(alive(8), update('dead', 6), 20_000);
	t.match({entry, isNews}, {entry: {health: 'alive'}, isNews: true}, 'the sign of life is sent to the others');
});

// Guards against a late message of the predecessor that hides the restarted instance, and against one that brings a dead one back.
await t.test('only a later incarnation or beat brings a member back', async (t) => {
	const {entry: restarted} = mergeDirect(alive(50), heartbeat(1, 2), 11_000);
	t.equal(mergeDirect(restarted, heartbeat(51, 1), 11_100).entry, restarted);
	const {entry: dead} = mergeUpdate(restarted, update('dead', 1, 3000, 2), 15_000);
	t.equal(mergeUpdate(dead, update('alive', 1, 0, 2), 15_100).entry.health, 'dead');
	t.equal(mergeUpdate(dead, update('alive', 1, 0, 3), 15_100).entry.health, 'alive');
	t.equal(isForgettable(dead, 30_000), false, 'it is remembered while late messages may arrive');
	t.equal(isForgettable(dead, 90_000), true);
});
