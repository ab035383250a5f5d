import t from 'tap';
import {matchesSelector} from './index.js';

// Guards against placing jobs on workers that their selectors exclude.
await t.test('matchesSelector', async (t) => {
	const labels = {gpu: 'a100', zone: 'a'};
	const cases = [
		{name: 'empty selector', selector: {}, expected: true},
		{name: 'label matches', selector: {matchLabels: {gpu: 'a100'}}, expected: true},
		{name: 'label differs', selector: {matchLabels: {gpu: 'h100'}}, expected: false},
		{name: 'label missing', selector: {matchLabels: {disk: 'ssd'}}, expected: false},
		{name: 'In', selector: {matchExpressions: [{key: 'zone', operator: 'In', values: ['a', 'b']}]}, expected: true},
		{
			name: 'In, key missing',
			selector: {matchExpressions: [{key: 'x', operator: 'In', values: ['a']}]},
			expected: false,
		},
		{name: 'NotIn', selector: {matchExpressions: [{key: 'zone', operator: 'NotIn', values: ['a']}]}, expected: false},
		{
			name: 'NotIn, key missing',
			selector: {matchExpressions: [{key: 'x', operator: 'NotIn', values: ['a']}]},
			expected: true,
		},
		{name: 'Exists', selector: {matchExpressions: [{key: 'gpu', operator: 'Exists'}]}, expected: true},
		{
			name: 'Exists, key on the prototype',
			selector: {matchExpressions: [{key: 'constructor', operator: 'Exists'}]},
			expected: false,
		},
		{name: 'DoesNotExist', selector: {matchExpressions: [{key: 'gpu', operator: 'DoesNotExist'}]}, expected: false},
	] as const;
	for (const {name, selector, expected} of cases) {
		t.equal(matchesSelector(selector, labels), expected, name);
	}
});
