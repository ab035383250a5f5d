import type {Labels, Selector, SelectorExpression} from './types.js';

const matchesExpression = (expression: SelectorExpression, labels: Labels): boolean => {
	// A key such as `constructor` must not be found on the prototype.
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
True when every part of the selector holds for the labels.

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
