import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import {ServiceError} from '@bergamotgauge/model';
import t, {type Test} from 'tap';
import {createClocks} from './clocks.js';
import {BOUNDS, newWorker} from './test/cluster.js';
import type {EndedUnit, LeaseRenewal, OrderReply, RunningUnit, WorkerPort} from './types.js';
import {createWorkerLink} from './worker-link.js';
import type {WorkerLink} from './worker-link-types.js';

type WorkerScript = {
	/** Ends that the worker reports until they are acknowledged. */
	ended: EndedUnit[];
	running: RunningUnit[];
	/** Number of following lease renewals that get no response. */
	lostRenewals: number;
	/** Number of following lease renewals that the worker refuses. */
	refusedRenewals: number;
	/** Whether the leader has work on the worker. */
	hasWork: boolean;
	/** Number of following starts that get no response. */
	lostStarts: number;
};

type Fixture = Readonly<{
	clock: Clock;
	link: WorkerLink;
	script: WorkerScript;
	renewals: LeaseRenewal[];
	/** Times at which starts were sent. */
	starts: number[];
	/** Whether the term of the leader is valid. */
	term: {isValid: boolean};
	/** Ends passed to `onEnds`, each with a callback that completes its store. */
	endBatches: Array<Readonly<{sequences: readonly number[]; completeStore: () => void}>>;
}>;

const newEnd = (sequence: number): EndedUnit => ({
	sequence,
	unit: `j.0.0.${sequence}`,
	run: 1,
	how: 'done',
	checkpoint: '',
});

const neverRespond = async (signal?: AbortSignal) =>
	new Promise<never>((_resolve, reject) => {
		const fail = () => {
			reject(new ServiceError('no answer', {code: 'worker-failed', verdict: 'may-have-run'}));
		};

		setTimeout(fail, 10_000);
		signal?.addEventListener('abort', fail);
	});

const createFixture = (t: Test): Fixture => {
	const clock = FakeTimers.install({now: 1000});
	const script: WorkerScript = {
		ended: [],
		running: [],
		lostRenewals: 0,
		refusedRenewals: 0,
		hasWork: true,
		lostStarts: 0,
	};
	const renewals: LeaseRenewal[] = [];
	const starts: number[] = [];
	const term = {isValid: true};
	const endBatches: Fixture['endBatches'] = [];
	const clockMs = () => Math.round(performance.now());
	const accept = async (): Promise<OrderReply> => ({outcome: 'accepted', clockMs: clockMs()});
	const port: WorkerPort = {
		async start(_order, options) {
			starts.push(performance.now());
			if (script.lostStarts > 0) {
				script.lostStarts -= 1;
				return neverRespond(options?.signal);
			}

			return accept();
		},
		stop: accept,
		throttle: accept,
		async renewLease(order) {
			renewals.push(order);
			if (script.lostRenewals > 0) {
				script.lostRenewals -= 1;
				return neverRespond();
			}

			if (script.refusedRenewals > 0) {
				script.refusedRenewals -= 1;
				return {outcome: 'refused', reason: 'unhealthy'};
			}

			// A worker forgets the ends that it is told to.
			script.ended = script.ended.filter(({sequence}) => sequence > order.acknowledgedSequence);
			const ended = [...script.ended];
			await new Promise((resolve) => {
				setTimeout(resolve, ended.length > 0 ? 1 : order.waitMs);
			});
			return {outcome: 'accepted', clockMs: clockMs(), running: script.running, ended};
		},
		close() {
			// The scripted worker has no connections.
		},
	};
	const controller = new AbortController();
	const worker = newWorker('w1');
	const link = createWorkerLink({
		context: {
			connectWorker: () => port,
			log: createSilentLog(),
			metrics: createMetrics(),
			bounds: BOUNDS,
		},
		worker,
		token: 1,
		clocks: createClocks(),
		earlierLeasesEndMs: 0,
		mayOrder: () => term.isValid,
		events: {
			onReport() {
				// The tests check only ends and orders.
			},
			onProgress() {
				// The tests do not check progress.
			},
			onEnds: async (_link, ended) =>
				new Promise((resolve) => {
					endBatches.push({sequences: ended.map(({sequence}) => sequence), completeStore: resolve});
				}),
			onGone() {
				t.fail('the worker is not gone');
			},
			onStaleToken() {
				t.fail('there is no newer token');
			},
			renewalWaitMs: () => 2000,
			hasWork: () => script.hasWork,
			onSilent() {
				// No start is late.
			},
		},
	});
	const running = link.run(controller.signal);
	t.teardown(async () => {
		controller.abort();
		await clock.tickAsync(20_000);
		await running;
		clock.uninstall();
	});
	return {clock, link, script, renewals, starts, term, endBatches};
};

// Guards against an end that its worker forgets before it is stored. After a change of leader the unit would run again,
// or a failed run would not be counted.
await t.test('an end is acknowledged only when all earlier ends are stored', async (t) => {
	const {clock, script, renewals, endBatches} = createFixture(t);
	script.ended.push(newEnd(1));
	await clock.tickAsync(10);
	t.same(endBatches[0]?.sequences, [1]);
	script.ended.push(newEnd(2));
	await clock.tickAsync(2000);
	t.same(endBatches[1]?.sequences, [2]);
	endBatches[1]!.completeStore();
	await clock.tickAsync(3000);
	t.equal(Math.max(...renewals.map(({acknowledgedSequence}) => acknowledgedSequence)), 0);
	endBatches[0]!.completeStore();
	await clock.tickAsync(3000);
	const acknowledgements = renewals.map(({acknowledgedSequence}) => acknowledgedSequence);
	t.same(
		acknowledgements.filter((sequence) => sequence > 0),
		[2],
		'it is acknowledged once; the next incarnation of the worker would take a repeat for its own ends',
	);
});

// Guards against an end that its worker keeps reporting as new, because the renewal that acknowledged it was refused.
await t.test('an end is acknowledged again after the worker has refused the acknowledgement', async (t) => {
	const {clock, script, renewals, endBatches} = createFixture(t);
	script.ended.push(newEnd(1));
	await clock.tickAsync(10);
	script.hasWork = false;
	script.refusedRenewals = 1;
	endBatches[0]!.completeStore();
	await clock.tickAsync(3000);
	t.equal(script.refusedRenewals, 0);
	t.equal(renewals.filter(({acknowledgedSequence}) => acknowledgedSequence === 1).length, 2);
});

// Guards against an acknowledgement to the next incarnation of a worker, which may have started while this instance was
// suspended and would forget an end that no leader has read. Only a gain of the wall clock shows the suspension.
await t.test('ends are not acknowledged on a report from before a suspension', async (t) => {
	const {clock, script, renewals, endBatches} = createFixture(t);
	script.ended.push(newEnd(1));
	await clock.tickAsync(10);
	const before = renewals.length;
	clock.setSystemTime(Date.now() + 3000);
	endBatches[0]!.completeStore();
	await clock.tickAsync(3000);
	const acknowledgements = renewals.slice(before).map(({acknowledgedSequence}) => acknowledgedSequence);
	t.equal(acknowledgements[0], 0, 'the worker is asked for a report first');
	t.ok(acknowledgements.includes(1));
});

// Guards against lost responses to starts that delay a gang, whose other members wait at their workers meanwhile.
await t.test('a start without a response is retried soon', async (t) => {
	const {clock, link, script, starts} = createFixture(t);
	await clock.tickAsync(10);
	script.lostStarts = 1;
	const sentMs = performance.now();
	const started = link.start({unit: 'j.0.0.0', run: 1, spec: '', checkpoint: '', ticket: undefined}, () => true);
	await clock.tickAsync(1000);
	t.same(await started, {outcome: 'accepted', isUncertain: true});
	t.ok(starts[1]! - sentMs <= 250);
});

// Guards against an end in a lost report that becomes known only with the next report, three seconds later.
await t.test('a progress poll returns ends while a lease renewal is outstanding', async (t) => {
	const {clock, link, script, endBatches} = createFixture(t);
	await clock.tickAsync(10);
	script.lostRenewals = 1;
	await clock.tickAsync(2500);
	script.ended.push(newEnd(1));
	const poll = link.pollProgress();
	await clock.tickAsync(10);
	await poll;
	t.same(
		endBatches.map(({sequences}) => sequences),
		[[1]],
	);
});

// Guards against a lease that is granted after the term has lapsed, which a later leader does not wait for.
await t.test('no lease is granted while the term is paused, even if ends are being stored', async (t) => {
	const {clock, script, renewals, term} = createFixture(t);
	await clock.tickAsync(10);
	script.ended.push(newEnd(1));
	await clock.tickAsync(2100);
	const before = renewals.length;
	term.isValid = false;
	await clock.tickAsync(5000);
	t.equal(renewals.length, before);
	term.isValid = true;
	await clock.tickAsync(2000);
	t.ok(renewals.length > before, 'renewals continue with the term');
});
