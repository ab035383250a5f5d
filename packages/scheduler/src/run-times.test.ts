import t from 'tap';
import {createRunTimes} from './run-times.js';

// Guards against urgent jobs being ranked last as expired because their callers estimate 120 ms for units that take 3 s.
await t.test('inaccurate estimates are outweighed by the run times observed in the queue', async (t) => {
	const times = createRunTimes();
	t.equal(times.expectMs('a', 120), 120, 'without an observed run there is only the estimate');
	for (let index = 0; index < 40; index += 1) {
		times.observe('a', index % 2 === 0 ? 100 : 20_000, index % 2 === 0 ? 2800 : 3200);
	}

	const expectedMs = times.expectMs('a', 120);
	t.ok(expectedMs > 2000 && expectedMs < 4000, `${expectedMs}`);
	t.equal(times.expectMs('b', 120), 120, 'queues are independent');
});

await t.test('accurate estimates are used', async (t) => {
	const times = createRunTimes();
	for (let index = 0; index < 40; index += 1) {
		const actualMs = index % 2 === 0 ? 500 : 30_000;
		times.observe('a', actualMs, actualMs * 1.05);
	}

	const expectedMs = times.expectMs('a', 500);
	t.ok(expectedMs < 700, `${expectedMs}`);
});
