import {ServiceError} from '@bergamotgauge/model';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createClocks} from '../clocks.js';
import {createMemoryKeyValue} from '../test/memory-key-value.js';
import {WITHDRAWAL_TTL_MS} from './constants.js';
import {createTransact} from './transact.js';

// Guards against a job that runs although its cancellation was answered with "no such job": its submission was repeated
// after a suspension of the machine, when the mark of the cancellation had ended.
await t.test('a transaction is not repeated after a suspension that outlasts its deadline', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	let calls = 0;
	const store = {
		...createMemoryKeyValue(),
		async transact() {
			calls += 1;
			throw new ServiceError('no response', {code: 'store-unavailable', verdict: 'may-have-run'});
		},
	};
	const transact = createTransact(store, createClocks());
	const unknown = t.rejects(transact({expected: [], writes: []}), {code: 'deadline-exceeded', verdict: 'may-have-run'});
	await clock.tickAsync(10);
	// The monotonic clock stops while the machine is suspended.
	clock.setSystemTime(Date.now() + WITHDRAWAL_TTL_MS);
	await clock.tickAsync(5000);
	await unknown;
	t.equal(calls, 1);
});
