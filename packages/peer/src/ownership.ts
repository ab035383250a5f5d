import {hash48} from '@bergamotgauge/model';
import {MAX_CACHED_SCORES} from './constants.js';

/** Cache of scores by key and member; every loop of an instance requests the same ones repeatedly. */
const scores = new Map<string, number>();

const scoreOf = (key: string, member: string): number => {
	const text = `${key}/${member}`;
	let score = scores.get(text);
	if (score === undefined) {
		score = hash48(text);
		if (scores.size >= MAX_CACHED_SCORES) {
			scores.clear();
		}

		scores.set(text, score);
	}

	return score;
};

/**
Orders members by rendezvous hashing for a key; the first one owns the key.

@example
```ts
const [owner, standby] = rankMembers('racks/r1', ['a', 'b', 'c']);
```
*/
export const rankMembers = (key: string, members: readonly string[]): readonly string[] =>
	members
		.map((member) => ({member, score: scoreOf(key, member)}))
		.toSorted((a, b) => b.score - a.score || a.member.localeCompare(b.member))
		.map(({member}) => member);

/** The member that owns a key; undefined when there are no members. */
export const ownerOf = (key: string, members: readonly string[]): string | undefined => {
	let owner: string | undefined;
	let bestScore = -1;
	for (const member of members) {
		const score = scoreOf(key, member);
		if (score > bestScore || (score === bestScore && owner !== undefined && member.localeCompare(owner) < 0)) {
			owner = member;
			bestScore = score;
		}
	}

	return owner;
};
