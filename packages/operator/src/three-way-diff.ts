import {isDeepStrictEqual} from 'node:util';
import type {Declarations} from '@bergamotgauge/model';
import {COLLECTIONS} from './diff.js';

/** Which side changed an item since the base: the configuration in force (`theirs`), the refused change (`mine`), both in the same way, or both differently. */
export type DifferenceKind = 'theirs' | 'mine' | 'same' | 'conflicting';

/** An item that differs between the base, the configuration in force and the refused change; a side is undefined where the item does not exist. */
export type ThreeWayDifference = Readonly<{
	kind: DifferenceKind;
	collection: keyof Declarations;
	name: string;
	base: unknown;
	theirs: unknown;
	mine: unknown;
}>;

type NamedItem = Readonly<{name: string}>;

const byName = (items: readonly NamedItem[]): ReadonlyMap<string, NamedItem> =>
	new Map(items.map((item) => [item.name, item]));

const kindOf = (base: unknown, theirs: unknown, mine: unknown): DifferenceKind | undefined => {
	const isChangedInTheirs = !isDeepStrictEqual(base, theirs);
	const isChangedInMine = !isDeepStrictEqual(base, mine);
	if (isChangedInTheirs && isChangedInMine) {
		return isDeepStrictEqual(theirs, mine) ? 'same' : 'conflicting';
	}

	if (isChangedInTheirs) {
		return 'theirs';
	}

	return isChangedInMine ? 'mine' : undefined;
};

/**
Compares a refused change and the configuration in force with the generation on which the change was based.

@example
```ts
threeWayDiff(base, theirs, mine); // [{kind: 'conflicting', collection: 'customers', name: 'acme', base: {…}, theirs: {…}, mine: undefined}]
```
*/
export const threeWayDiff = (
	base: Declarations,
	theirs: Declarations,
	mine: Declarations,
): readonly ThreeWayDifference[] =>
	COLLECTIONS.flatMap((collection) => {
		const [inBase, inTheirs, inMine] = [base, theirs, mine].map((side) => byName(side[collection]));
		const names = new Set([...inBase!.keys(), ...inTheirs!.keys(), ...inMine!.keys()]);
		return [...names].flatMap((name): readonly ThreeWayDifference[] => {
			const sides = {base: inBase!.get(name), theirs: inTheirs!.get(name), mine: inMine!.get(name)};
			const kind = kindOf(sides.base, sides.theirs, sides.mine);
			return kind ? [{kind, collection, name, ...sides}] : [];
		});
	});
