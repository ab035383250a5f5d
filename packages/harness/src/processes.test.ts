import FakeTimers from '@sinonjs/fake-timers';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import t from 'tap';
import {START_DEADLINE_MS} from './constants.js';
import {startStandIn} from './processes.js';

// Guards against a failed start that tells neither which program was late nor whether it waited or got no processor time.
await t.test('a program that is not ready in time is named, with its CPU time', async (t) => {
	const lifecycle = createLifecycle('late-start');
	const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(async () => {
		clock.uninstall();
		await lifecycle.close();
	});
	const started = startStandIn(lifecycle, ['store']);
	clock.tick(START_DEADLINE_MS);
	await t.rejects(started, {
		message: /^standin-store is not ready after 20000 ms \(\d+\.\d\d s of CPU time, load average \d+\.\d\):/v,
	});
});
