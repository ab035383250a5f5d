import t from 'tap';
import {createReplica, type Changes} from './index.js';

const entry = (key: string, revision: number, value: unknown = revision) => ({key, revision, value});

const changes = (revision: number, ...entries: Changes['entries']): Changes => ({revision, entries, compacted: false});

// Guards against a delayed or duplicated push that reverts a value.
await t.test('an older or repeated value changes nothing', async (t) => {
	const replica = createReplica();
	replica.apply(changes(5, entry('k', 5)));
	replica.applyFrom(3, changes(4, entry('k', 4)));
	replica.applyFrom(4, changes(5, entry('k', 5, 'other')));
	t.match(replica.get('k'), entry('k', 5));
	t.equal(replica.revision(), 5);
});

// Guards against a late push that brings back a key which was removed before this instance read its first copy.
await t.test('a late value of a key that the full copy does not have is ignored', async (t) => {
	const replica = createReplica();
	replica.apply({...changes(9, entry('other', 8)), compacted: true});
	replica.applyFrom(3, changes(4, entry('k', 4)));
	replica.applyOwnWrite(entry('k', 4));
	t.equal(replica.get('k').value, undefined);
	replica.applyFrom(9, changes(10, entry('k', 10)));
	t.match(replica.get('k'), entry('k', 10));
});

// Guards against a removal that does not reach an instance whose peer never knew the key.
await t.test('a peer whose copy began after a removal gives its full copy', async (t) => {
	const behind = createReplica();
	behind.apply(changes(4, entry('gone', 4), entry('kept', 3)));
	const ahead = createReplica();
	ahead.apply({...changes(9, entry('kept', 3)), compacted: true});
	const answer = ahead.changesAfter(behind.revision());
	t.equal(answer.compacted, true);
	behind.apply(answer);
	t.equal(behind.get('gone').value, undefined);
	t.match(behind.get('kept'), entry('kept', 3));
});

// Guards against a copy that claims to be complete although a push before this one was lost.
await t.test('a push after a gap does not advance the revision', async (t) => {
	const replica = createReplica();
	replica.apply(changes(5, entry('k', 5)));
	t.equal(replica.applyFrom(7, changes(8, entry('k', 8))), false);
	t.equal(replica.revision(), 5);
	t.match(replica.get('k'), entry('k', 8));
	t.equal(replica.applyFrom(5, changes(8, entry('m', 7))), true);
	t.equal(replica.revision(), 8);
	t.match(replica.get('m'), entry('m', 7));
});

// Guards against an old full list that removes what was written after it.
await t.test('a full list older than the copy removes nothing', async (t) => {
	const replica = createReplica();
	replica.apply(changes(5, entry('k', 2)));
	replica.apply({...changes(3), compacted: true});
	t.match(replica.get('k'), entry('k', 2));
});
