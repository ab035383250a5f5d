import {ServiceError, type Declarations} from '@bergamotgauge/model';
import {planReservedBlocks} from './reserved-blocks.js';

/**
Checks that all guaranteed shapes fit the declared capacity at the same time.

@example
```ts
checkGuarantees(declarations);
```

@throws {ServiceError} `impossible`, with the guarantee that does not fit.
*/
export const checkGuarantees = (declarations: Declarations): void => {
	const [shortfall] = planReservedBlocks({
		bundle: {...declarations, generation: 0},
		racks: new Map(),
		jobs: [],
		workersDown: new Set(),
		nowMs: 0,
	}).shortfalls;
	if (shortfall) {
		const {count} = declarations.guarantees.find(({name}) => name === shortfall.guarantee)!;
		throw new ServiceError(
			`guarantee ${shortfall.guarantee} does not fit: shape ${shortfall.index + 1} of ${count} with ${shortfall.accelerators} adjacent accelerators has no place on the declared racks`,
			{code: 'impossible', verdict: 'not-run', details: {guarantee: shortfall.guarantee}},
		);
	}
};
