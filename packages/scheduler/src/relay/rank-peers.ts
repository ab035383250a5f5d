import {hash48} from '@bergamotgauge/model';
import {MAX_PEERS} from './constants.js';
import type {PeerRecord} from './types.js';

const HASH_RANGE = 2 ** 48;

/** Weighted rendezvous score: over many instances, a peer comes first in proportion to its cores. */
const scoreOf = (own: PeerRecord, peer: PeerRecord): number =>
	-peer.cores / Math.log((hash48(`${own.id}/${peer.id}`) + 0.5) / HASH_RANGE);

/** The elements of both lists in turn. */
const interleave = <Item>(first: readonly Item[], second: readonly Item[]): readonly Item[] =>
	Array.from({length: Math.max(first.length, second.length)}).flatMap((_value, index) =>
		[first[index], second[index]].filter((item) => item !== undefined),
	);

/**
Orders the peers in which an instance looks for one that serves: those of its own availability zone and others in turn, since a fault may affect a whole zone; within these, larger ones are likelier to come first.

@example
```ts
const candidates = rankPeers(own, [...records.values()]);
```
*/
export const rankPeers = (own: PeerRecord, peers: readonly PeerRecord[]): readonly PeerRecord[] => {
	const ranked = peers
		.filter(({id}) => id !== own.id)
		.map((peer) => ({peer, score: scoreOf(own, peer)}))
		.toSorted((a, b) => b.score - a.score || a.peer.id.localeCompare(b.peer.id))
		.map(({peer}) => peer);
	const isNear = ({availabilityZone}: PeerRecord) => availabilityZone === own.availabilityZone;
	return interleave(
		ranked.filter((peer) => isNear(peer)),
		ranked.filter((peer) => !isNear(peer)),
	).slice(0, MAX_PEERS);
};
