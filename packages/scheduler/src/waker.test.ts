import {getEventListeners} from 'node:events';
import t from 'tap';
import {createWaker} from './waker.js';

// Guards against a leak of one listener for each wait on the signal of a long term.
await t.test('a wait does not leak a listener', async (t) => {
	const {signal} = new AbortController();
	const waker = createWaker();
	for (let index = 0; index < 20; index += 1) {
		const waited = waker.wait(signal);
		waker.wake();
		await waited;
		await waker.wait(signal, 0);
	}

	t.equal(getEventListeners(signal, 'abort').length, 0);
});

await t.test('a wake before the wait counts, and an abort ends it', async (t) => {
	const controller = new AbortController();
	const waker = createWaker();
	waker.wake();
	await waker.wait(controller.signal);
	const waited = waker.wait(controller.signal);
	controller.abort();
	await waited;
	await waker.wait(controller.signal);
	t.pass('all waits ended');
});
