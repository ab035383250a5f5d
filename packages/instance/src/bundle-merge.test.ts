import {BUNDLE_KEY} from '@bergamotgauge/model';
import {createReplica} from '@bergamotgauge/store';
import fc from 'fast-check';
import t from 'tap';
import {generationOf, mergeBundle} from './bundle-merge.js';
import {pageOf} from './replication.js';

const bundle = (revision: number, generation: number | undefined) => ({
	key: BUNDLE_KEY,
	revision,
	value: generation === undefined ? undefined : {generation},
});

// Guards against a configuration that reverts when its entry is removed, written again with an older generation, or pushed late.
await t.test('only rising generations are applied', async (t) => {
	const replica = createReplica({mergeEntry: mergeBundle});
	const generation = () => generationOf(replica.get(BUNDLE_KEY));
	replica.apply({revision: 5, entries: [bundle(5, 3)], compacted: true});
	replica.apply({revision: 6, entries: [bundle(6, undefined)], compacted: false});
	t.equal(generation(), 3, 'removed entry');
	t.equal(replica.get(BUNDLE_KEY).revision, 6, 'the next write needs the new revision');
	replica.apply({revision: 7, entries: [bundle(7, 1)], compacted: false});
	t.equal(generation(), 3, 'older generation under a newer revision');
	replica.applyEntry(bundle(4, 2));
	t.equal(generation(), 3, 'late push');
	replica.apply({revision: 9, entries: [], compacted: true});
	t.equal(generation(), 3, 'full list without the entry');
	replica.applyEntry(bundle(8, 4));
	t.equal(generation(), 4, 'a peer has a later generation than the store');
});

// Guards against a delivery order after which another generation than the highest is in force, also for a moment.
await t.test('any delivery order keeps the highest generation in force', async () => {
	const delivery = fc.record({revision: fc.nat(20), generation: fc.option(fc.nat(20), {nil: undefined})});
	fc.assert(
		fc.property(fc.array(delivery), (deliveries) => {
			const replica = createReplica({mergeEntry: mergeBundle});
			let highest = 0;
			for (const {revision, generation} of deliveries) {
				replica.applyEntry(bundle(revision, generation));
				highest = Math.max(highest, generation ?? 0);
				if (generationOf(replica.get(BUNDLE_KEY)) !== highest) {
					return false;
				}
			}

			return true;
		}),
		{seed: 7},
	);
});

// Guards against values that a paged response leaves out, also where several share one revision.
await t.test('pages together hold every entry once', async (t) => {
	const entries = [3, 1, 2, 2, 2, 5].map((revision, index) => ({key: `k${index}`, revision, value: 'x'.repeat(100)}));
	const keys: string[] = [];
	let cursor = 0;
	for (let page = pageOf({revision: 6, entries, compacted: false}, 0, 150); ;) {
		keys.push(...page.entries.map(({key}) => key));
		cursor = page.revision;
		if (!page.hasMore) {
			break;
		}

		page = pageOf({revision: 6, entries, compacted: false}, cursor, 150);
	}

	t.same(
		keys.toSorted(),
		entries.map(({key}) => key),
	);
	t.equal(cursor, 6);
});
