import t from 'tap';
import {MAX_PEERS} from './constants.js';
import {rankPeers} from './rank-peers.js';
import type {PeerRecord} from './types.js';

const peer = (id: string, availabilityZone: string, cores = 0.5): PeerRecord => ({
	id,
	availabilityZone,
	cores,
	address: `${id}:7001`,
});

// Guards against candidates of one zone only, none of which serves when the store turns away the whole zone.
await t.test('the own zone comes first, in turn with others, without the instance itself', async (t) => {
	const own = peer('own', 'a');
	const ranked = rankPeers(own, [own, peer('a1', 'a'), peer('a2', 'a'), peer('b1', 'b'), peer('c1', 'c')]);
	t.same(
		ranked.map(({availabilityZone}) => (availabilityZone === 'a' ? 'near' : 'far')),
		['near', 'far', 'near', 'far'],
	);
	const many = Array.from({length: 100}, (_value, index) => peer(`p${index}`, 'b'));
	t.equal(rankPeers(own, many).length, MAX_PEERS);
});

// Guards against a third of the instances that all relay to the same peer, or to the smallest ones.
await t.test('relaying instances choose different peers, and larger ones more often', async (t) => {
	const peers = [peer('small', 'a', 0.25), peer('medium', 'a', 0.5), peer('large', 'a', 0.75)];
	const counts: Record<string, number> = {small: 0, medium: 0, large: 0};
	for (let index = 0; index < 3000; index += 1) {
		const [first] = rankPeers(peer(`own-${index}`, 'a'), peers);
		counts[first!.id]! += 1;
	}

	for (const [id, expected] of [
		['small', 500],
		['medium', 1000],
		['large', 1500],
	] as const) {
		t.ok(Math.abs(counts[id]! - expected) < 120, `${id}: ${counts[id]} of about ${expected}`);
	}
});
