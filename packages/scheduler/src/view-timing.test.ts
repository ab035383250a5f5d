import t from 'tap';
import {maxViewAgeMs} from './start-guard.js';
import {viewPauseMs, viewWaitMs} from './view-timing.js';

// Guards against a watch that lets its view become outdated without any fault, by its waits, its pauses or a slow store.
await t.test('a view stays below its limit between two responses of its watch', async (t) => {
	for (const boundMs of [2000, 3000, 4000, 20_000]) {
		for (const responseMs of [1, 50, 250]) {
			const maxAgeMs = maxViewAgeMs(boundMs);
			let ageMs = 0;
			for (let call = 0; call < 50; call += 1) {
				ageMs += viewPauseMs({maxAgeMs, ageMs, responseMs}, 250);
				const tookMs = viewWaitMs({maxAgeMs, ageMs, responseMs}) + responseMs;
				t.ok(ageMs + tookMs <= maxAgeMs, `bound of ${boundMs} ms, responses of ${responseMs} ms`);
				ageMs = tookMs;
			}
		}
	}
});

// Guards against a wait on a watch of a view that is outdated, as after a suspension, and keeps starts paused.
await t.test('the watch on an outdated view does not wait', async (t) => {
	t.equal(viewWaitMs({maxAgeMs: 2300, ageMs: 6000, responseMs: 4}), 0);
	t.equal(viewPauseMs({maxAgeMs: 2300, ageMs: 6000, responseMs: 4}, 250), 0);
	t.ok(maxViewAgeMs(500) > 0);
});
