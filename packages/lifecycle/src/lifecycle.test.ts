import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createLifecycle, DeadlineError, sleep, withDeadline} from './index.js';

// Guards against releasing a resource before the resources that use it.
await t.test('clean-up runs once, in reverse order', async (t) => {
	const order: string[] = [];
	const lifecycle = createLifecycle('test');
	lifecycle.add('first', () => {
		order.push('first');
	});
	lifecycle.add('second', () => {
		order.push('second');
	});
	await Promise.all([lifecycle.close(), lifecycle.close()]);
	t.same(order, ['second', 'first']);
});

// Guards against a task that stops without a report after one failure.
await t.test('a failed task is reported and restarted', async (t) => {
	const clock = FakeTimers.install();
	t.teardown(() => {
		clock.uninstall();
	});
	const failures: string[] = [];
	let starts = 0;
	const lifecycle = createLifecycle('test', (task) => {
		failures.push(task);
	});
	lifecycle.run('task', async (signal) => {
		starts += 1;
		if (starts === 1) {
			throw new Error('first start fails');
		}

		await sleep(60_000, signal);
	});
	await clock.tickAsync(1000);
	t.same(failures, ['test/task']);
	t.equal(starts, 2);
	await lifecycle.close();
});

// Guards against a call that hangs indefinitely because its work ignores the abort signal.
await t.test('withDeadline rejects when the work never settles', async (t) => {
	const clock = FakeTimers.install();
	t.teardown(() => {
		clock.uninstall();
	});
	const result = withDeadline(100, async () => new Promise<never>(() => {}));
	const rejected = t.rejects(result, DeadlineError);
	await clock.tickAsync(100);
	// The loop reads once more before the deadline takes effect.
	await clock.tickAsync(1);
	await rejected;
});

// Guards against a peer that counts as silent because this process was held up: due timers fire before what has arrived
// is read.
await t.test('work that settles when the loop reads after a delay is within its deadline', async (t) => {
	const clock = FakeTimers.install();
	t.teardown(() => {
		clock.uninstall();
	});
	let arrive = (_value: string) => {};
	const result = withDeadline(
		100,
		async () =>
			new Promise<string>((resolve) => {
				arrive = resolve;
			}),
	);
	clock.jump(3000);
	arrive('read');
	await clock.tickAsync(1);
	t.equal(await result, 'read');
});

// Guards against an unhandled rejection, which ends the process, when a resource opens while its owner closes.
await t.test('a resource that is added after the close and fails to close is reported', async (t) => {
	const failures: string[] = [];
	const lifecycle = createLifecycle('late', (task, error) => {
		failures.push(`${task}: ${error.message}`);
	});
	await lifecycle.close();
	lifecycle.add('socket', async () => {
		throw new Error('gone already');
	});
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	t.same(failures, ['late/socket: gone already']);
});
