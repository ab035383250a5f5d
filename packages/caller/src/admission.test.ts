import type {Reservation} from '@bergamotgauge/endpoint';
import type {Customer, Service, Urgency} from '@bergamotgauge/model';
import {createMetrics} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {createAdmission, type Permit, type Candidate} from './admission.js';

const SERVICE: Service = {
	name: 'listings',
	partner: 'p',
	endpointSelector: {},
	slots: 8,
	connections: 60,
	defaultClass: 'match',
	classes: [],
};

const customerOf = (name: string, weight = 1, concurrentRequests = 64, queuedRequests = 256): Customer => ({
	name,
	partner: 'p',
	weight,
	quota: {accelerators: 0, queuedJobs: 0, concurrentRequests, queuedRequests},
	labels: {},
});

const candidateOf = (customer: Customer, urgency: Urgency = 'normal', deadlineMs = 30_000): Candidate => ({
	service: SERVICE,
	customer,
	urgency,
	deadlineMs,
});

const setUp = (t: Pick<Test, 'teardown'>, slots: number, maxQueued?: number) => {
	const clock = FakeTimers.install();
	t.teardown(() => {
		clock.uninstall();
	});
	let used = 0;
	let onFree = () => {};
	const reserve = (): Reservation | undefined => {
		if (used >= slots) {
			return undefined;
		}

		used += 1;
		return {
			endpoint: 'e1',
			release() {
				used -= 1;
				onFree();
			},
		};
	};

	const admission = createAdmission({
		dispatcher: {
			reserve,
			onFree(listener) {
				onFree = listener;
			},
			slotsInUseBy: () => used,
			hasEndpoint: () => true,
		},
		metrics: createMetrics(),
		...(maxQueued !== undefined && {maxQueued}),
	});
	const granted: string[] = [];
	const running: Permit[] = [];
	const refused: string[] = [];
	/** Sends a request that runs until the test completes it. */
	const send = (candidate: Candidate, label = candidate.customer.name) => {
		void (async () => {
			try {
				running.push(await admission.enter(candidate, new AbortController().signal));
				granted.push(label);
			} catch (error) {
				refused.push(`${label} ${(error as Readonly<{code: string}>).code}`);
			}
		})();
	};

	/** Completes the oldest running request after `runMs`. */
	const finishOne = async (runMs = 10) => {
		await clock.tickAsync(runMs);
		running.shift()?.done();
		await clock.tickAsync(0);
	};

	return {clock, admission, granted, refused, running, send, finishOne};
};

// Guards against a customer that takes the slots of others by flooding the queue.
await t.test('customers share slots by weight, however many requests they queue', async (t) => {
	const {granted, send, finishOne} = setUp(t, 4);
	const heavy = customerOf('heavy', 3);
	const light = customerOf('light', 1);
	for (let index = 0; index < 200; index += 1) {
		send(candidateOf(light));
	}

	for (let index = 0; index < 60; index += 1) {
		send(candidateOf(heavy));
	}

	for (let index = 0; index < 44; index += 1) {
		await finishOne();
	}

	const later = granted.slice(4);
	t.equal(later.length, 44);
	const heavyCount = later.filter((name) => name === 'heavy').length;
	t.ok(Math.abs(heavyCount - 33) <= 1, `${heavyCount} of 44 for three quarters of the weight`);
});

// Guards against a well-behaved customer waiting behind the queue of another.
await t.test('a request of an idle customer is sent next while another customer floods the queue', async (t) => {
	const {granted, send, finishOne} = setUp(t, 2);
	for (let index = 0; index < 200; index += 1) {
		send(candidateOf(customerOf('flood')));
	}

	for (let index = 0; index < 10; index += 1) {
		await finishOne();
	}

	send(candidateOf(customerOf('calm')));
	await finishOne();
	t.ok(granted.slice(-2).includes('calm'));
});

// Guards against one customer using more slots than its quota, and against an unbounded queue.
await t.test('concurrency and queue stay within the quota', async (t) => {
	const {granted, refused, send, finishOne} = setUp(t, 10);
	const small = customerOf('small', 1, 2, 3);
	for (let index = 0; index < 7; index += 1) {
		send(candidateOf(small));
	}

	await finishOne(0);
	t.equal(granted.length, 3, 'two at the same time and the one after them');
	t.same(refused, ['small over-quota', 'small over-quota'], 'three wait, the others are refused at once');
});

// Guards against holding a request until its deadline although no slot can become free in time.
await t.test('a request that cannot start within its deadline is refused at once with a retry time', async (t) => {
	const {admission, send, finishOne, refused} = setUp(t, 1);
	const customer = customerOf('acme');
	for (let index = 0; index < 30; index += 1) {
		send(candidateOf(customer));
	}

	await finishOne(1000);
	await t.rejects(admission.enter(candidateOf(customer, 'normal', 5000), new AbortController().signal), {
		code: 'overloaded',
		verdict: 'not-run',
		status: 503,
	});
	t.throws(
		() => {
			admission.check(candidateOf(customer, 'normal', 5000));
		},
		{code: 'overloaded'},
	);
	t.equal(refused.length, 0);
});

// Guards against requests that stay queued after it is too late to run them within their deadline.
await t.test('a waiting request is refused before its deadline and at the age limit', async (t) => {
	const {clock, refused, send} = setUp(t, 1);
	send(candidateOf(customerOf('running')));
	send(candidateOf(customerOf('short'), 'normal', 500));
	send(candidateOf(customerOf('long'), 'normal', 60_000));
	await clock.tickAsync(499);
	t.same(refused, ['short overloaded']);
	await clock.tickAsync(9600);
	t.same(refused, ['short overloaded', 'long overloaded']);
});

// Guards against an urgent request that waits behind less urgent ones of its customer, or is shed in their place.
await t.test('urgent requests are sent first and the least urgent are shed', async (t) => {
	const {granted, refused, send, finishOne} = setUp(t, 1, 3);
	const acme = customerOf('acme');
	send(candidateOf(acme), 'running');
	send(candidateOf(acme, 'batch'), 'batch');
	send(candidateOf(acme, 'normal'), 'normal');
	send(candidateOf(customerOf('other'), 'normal'), 'other');
	send(candidateOf(acme, 'urgent'), 'urgent');
	await finishOne(0);
	t.same(refused, ['batch overloaded']);
	await finishOne();
	await finishOne();
	t.same(granted.toSorted(), ['normal', 'other', 'running', 'urgent']);
	t.ok(granted.indexOf('urgent') < granted.indexOf('normal'));
});

// Guards against granting a slot to a request whose caller has disconnected.
await t.test('a cancelled request leaves the queue', async (t) => {
	const {admission, send, running, finishOne} = setUp(t, 1);
	send(candidateOf(customerOf('acme')));
	const controller = new AbortController();
	const waiting = t.rejects(admission.enter(candidateOf(customerOf('acme')), controller.signal), {code: 'cancelled'});
	t.equal(admission.queued(), 1);
	controller.abort();
	await waiting;
	t.equal(admission.queued(), 0);
	await finishOne();
	t.equal(running.length, 0);
});

// Guards against a run-time estimate so high that it refuses every request, so that no new measurement corrects it.
await t.test('a high run-time estimate does not refuse requests while a slot is free', async (t) => {
	const {granted, refused, send, finishOne} = setUp(t, 1);
	const customer = customerOf('acme');
	for (let index = 0; index < 3; index += 1) {
		send(candidateOf(customer));
		await finishOne(5000);
	}

	send(candidateOf(customer, 'normal', 1000));
	await finishOne();
	t.same(refused, []);
	t.equal(granted.length, 4);
});
