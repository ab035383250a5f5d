import {matchesSelector, ServiceError, type Block, type Declarations} from '@bergamotgauge/model';
import {adjacentRuns} from './candidates.js';
import {workerLabels} from './eligibility.js';

const overlaps = (a: Block, b: Block): boolean =>
	a.worker === b.worker && a.first < b.first + b.count && b.first < a.first + a.count;

/**
Checks that all guaranteed shapes fit the declared capacity at the same time.

@example
```ts
checkGuarantees(declarations);
```

@throws {ServiceError} `impossible`, naming the guarantee that does not fit.
*/
export const checkGuarantees = (declarations: Declarations): void => {
	const taken: Block[] = [];
	const guarantees = declarations.guarantees.toSorted((a, b) => b.accelerators - a.accelerators);
	for (const guarantee of guarantees) {
		for (let index = 0; index < guarantee.count; index += 1) {
			const home = declarations.racks
				.flatMap((rack) =>
					adjacentRuns(rack, guarantee.accelerators, (worker) =>
						matchesSelector(guarantee.workerSelector, workerLabels(worker)),
					),
				)
				.find((blocks) => blocks.every((block) => taken.every((other) => !overlaps(block, other))));
			if (!home) {
				throw new ServiceError(
					`guarantee ${guarantee.name} does not fit: shape ${index + 1} of ${guarantee.count} with ${guarantee.accelerators} adjacent accelerators has no place on the declared racks`,
					{code: 'impossible', verdict: 'not-run', details: {guarantee: guarantee.name}},
				);
			}

			taken.push(...home);
		}
	}
};
