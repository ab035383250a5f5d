import t from 'tap';
import {createReplica, type Changes} from './index.js';

const entry = (key: string, revision: number, value: unknown = revision) => ({key, revision, value});

const changes = (revision: number, ...entries: Changes['entries']): Changes => ({revision, entries, compacted: false});

// Guards against a delayed or duplicated replication message that reverts a value.
await t.test('an older or repeated value changes nothing', async (t) => {
	const replica = createReplica();
	replica.apply(changes(5, entry('k', 5)));
	replica.applyFrom(3, changes(4, entry('k', 4)));
	replica.applyFrom(4, changes(5, entry('k', 5, 'other')));
	t.match(replica.get('k'), entry('k', 5));
	t.equal(replica.revision(), 5);
});

// Guards against a delayed replication message that restores a key which was removed before this instance read its first full listing.
await t.test('a delayed value of a key that is missing from the full listing is ignored', async (t) => {
	const replica = createReplica();
	replica.apply({...changes(9, entry('other', 8)), compacted: true});
	replica.applyFrom(3, changes(4, entry('k', 4)));
	replica.applyEntry(entry('k', 4));
	t.equal(replica.get('k').value, undefined);
	replica.applyFrom(9, changes(10, entry('k', 10)));
	t.match(replica.get('k'), entry('k', 10));
});

// Guards against a removal that never reaches an instance because the peer that it synchronises with never had the key.
await t.test('a peer whose replica starts after a removal sends its full replica', async (t) => {
	const behind = createReplica();
	behind.apply(changes(4, entry('gone', 4), entry('kept', 3)));
	const ahead = createReplica();
	ahead.apply({...changes(9, entry('kept', 3)), compacted: true});
	const response = ahead.changesAfter(behind.revision());
	t.equal(response.compacted, true);
	behind.apply(response);
	t.equal(behind.get('gone').value, undefined);
	t.match(behind.get('kept'), entry('kept', 3));
});

// Guards against a replica that reports itself complete although an earlier replication message was lost.
await t.test('changes after a gap do not advance the revision', async (t) => {
	const replica = createReplica();
	replica.apply(changes(5, entry('k', 5)));
	t.equal(replica.applyFrom(7, changes(8, entry('k', 8))), false);
	t.equal(replica.revision(), 5);
	t.match(replica.get('k'), entry('k', 8));
	t.equal(replica.applyFrom(5, changes(8, entry('m', 7))), true);
	t.equal(replica.revision(), 8);
	t.match(replica.get('m'), entry('m', 7));
});

// Guards against an outdated full listing that removes entries written after it.
await t.test('a full listing older than the replica removes nothing', async (t) => {
	const replica = createReplica();
	replica.apply(changes(5, entry('k', 2)));
	replica.apply({...changes(3), compacted: true});
	t.match(replica.get('k'), entry('k', 2));
});
