import type {Labels, Selector, SelectorExpression} from './types.js';

const matchesExpression = (expression: SelectorExpression, labels: Labels): boolean => {
	// Only own properties count: a key such as `constructor` exists on the prototype.
	const value = Object.hasOwn(labels, expression.key) ? labels[expression.key] : undefined;
	switch (expression.operator) {
		case 'Exists': {
			return value !== undefined;
		}

		case 'DoesNotExist': {
			return value === undefined;
		}

		case 'In': {
			return value !== undefined && (expression.values ?? []).includes(value);
		}

		case 'NotIn': {
			return value === undefined || !(expression.values ?? []).includes(value);
		}
	}
};

/**
Returns whether the labels satisfy every requirement of the selector.

@example
```ts
matchesSelector({matchLabels: {gpu: 'a100'}}, {gpu: 'a100', rack: 'r1'}); // true
```
*/
export const matchesSelector = (selector: Selector, labels: Labels): boolean => {
	for (const [key, value] of Object.entries(selector.matchLabels ?? {})) {
		if (!Object.hasOwn(labels, key) || labels[key] !== value) {
			return false;
		}
	}

	return (selector.matchExpressions ?? []).every((expression) => matchesExpression(expression, labels));
};
