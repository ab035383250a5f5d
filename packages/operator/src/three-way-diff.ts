import {isDeepStrictEqual} from 'node:util';
import type {Declarations} from '@bergamotgauge/model';
import {COLLECTIONS} from './diff.js';

/** Who changed an item: the configuration in force, the refused change, both alike, or both differently. */
export type DifferenceKind = 'theirs' | 'mine' | 'same' | 'conflicting';

/** An item that differs between base, the configuration in force and the refused change; a side is undefined where the item does not exist. */
export type ThreeWayDifference = Readonly<{
	kind: DifferenceKind;
	collection: keyof Declarations;
	name: string;
	base: unknown;
	theirs: unknown;
	mine: unknown;
}>;

type Named = Readonly<{name: string}>;

const byName = (items: readonly Named[]): ReadonlyMap<string, Named> => new Map(items.map((item) => [item.name, item]));

const kindOf = (base: unknown, theirs: unknown, mine: unknown): DifferenceKind | undefined => {
	const isChangedByThem = !isDeepStrictEqual(base, theirs);
	const isChangedByMe = !isDeepStrictEqual(base, mine);
	if (isChangedByThem && isChangedByMe) {
		return isDeepStrictEqual(theirs, mine) ? 'same' : 'conflicting';
	}

	if (isChangedByThem) {
		return 'theirs';
	}

	return isChangedByMe ? 'mine' : undefined;
};

/**
Compares a refused change and the configuration in force with the generation from which the change started.

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
