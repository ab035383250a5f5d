import {hash48} from '@bergamotgauge/model';

/**
Orders members by rendezvous hashing for a key; the first one owns the key.

@example
```ts
const [owner, standby] = rankMembers('racks/r1', ['a', 'b', 'c']);
```
*/
export const rankMembers = (key: string, members: readonly string[]): readonly string[] =>
	members
		.map((member) => ({member, score: hash48(`${key}/${member}`)}))
		.toSorted((a, b) => b.score - a.score || a.member.localeCompare(b.member))
		.map(({member}) => member);

/** The member that owns a key, or undefined without members. */
export const ownerOf = (key: string, members: readonly string[]): string | undefined => rankMembers(key, members)[0];
