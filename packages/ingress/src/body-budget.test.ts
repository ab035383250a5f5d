import fc from 'fast-check';
import t from 'tap';
import {createBodyBudget, type Holding} from './body-budget.js';
import type {RefusalCause} from './types.js';

const LIMITS = {
	budgetBytes: 1000,
	reserveBytes: 200,
	customerShare: 0.5,
	sourceShare: 0.7,
	stallMs: 100,
	slowGraceMs: 500,
	minBodyRate: 100,
};

/** A budget with a clock, and the requests that gave way in their order. */
const createFixture = () => {
	let nowMs = 0;
	const gaveWay: Array<readonly [string, RefusalCause]> = [];
	const budget = createBodyBudget({limits: LIMITS, now: () => nowMs});
	return {
		budget,
		gaveWay,
		wait(ms: number) {
			nowMs += ms;
		},
		open: (name: string, customer: string, source = name): Holding =>
			budget.open({customer, source}, (cause) => {
				gaveWay.push([name, cause]);
			}),
	};
};

// Guards against a crowd of one customer, with many addresses, that leaves no room for others.
await t.test('a customer with several requests gets at most its share', async (t) => {
	const {budget, gaveWay, open} = createFixture();
	t.equal(open('a1', 'a').grow(300), undefined);
	t.equal(open('a2', 'a').grow(300), 'customer-share', 'the request that came last is refused');
	t.strictSame(gaveWay, [], 'what makes progress stays');
	t.equal(budget.heldBytes(), 300);
});

await t.test('an address with several requests gets at most its share', async (t) => {
	const {open} = createFixture();
	t.equal(open('a', 'a', 'here').grow(400), undefined);
	t.equal(open('b', 'b', 'here').grow(400), undefined, 'the only request of a customer is bound by neither share');
	t.equal(open('b2', 'b', 'here').grow(10), 'source-share');
});

// Guards against bodies that stopped short of their end and keep others out until their deadline.
await t.test('a request without progress gives way first, the longest one before others', async (t) => {
	const {gaveWay, wait, open} = createFixture();
	const first = open('a1', 'a');
	first.grow(150);
	open('a2', 'a').grow(150);
	wait(60);
	first.recordProgress(1);
	wait(60);
	t.equal(open('a3', 'a').grow(250), undefined);
	t.strictSame(gaveWay, [['a2', 'customer-share']]);
});

// Guards against an ordinary request that finds no room beside a crowd.
await t.test('the only request of a customer finds the reserve, and then the room of what stalls', async (t) => {
	const {gaveWay, wait, open} = createFixture();
	t.equal(open('a', 'a').grow(450), undefined);
	t.equal(open('b', 'b').grow(350), undefined);
	const second = open('b2', 'b');
	t.equal(second.grow(10), 'memory', 'the second request of a customer does not get the reserve');
	second.release();
	t.equal(open('c', 'c').grow(200), undefined, 'the reserve');
	t.equal(open('d', 'd').grow(100), 'memory', 'nobody gives way while there is progress');
	wait(1000);
	t.equal(open('e', 'e').grow(100), undefined);
	t.strictSame(gaveWay, [['a', 'memory']]);
});

// Guards against clients that keep all of the memory by sending a byte now and then, each with a key of its own.
await t.test('a slow body gives way when others need the room', async (t) => {
	const {gaveWay, wait, open} = createFixture();
	const [slow, fast] = [open('slow', 'a'), open('fast', 'b')];
	t.equal(slow.grow(400), undefined);
	t.equal(fast.grow(400), undefined);
	for (let step = 0; step < 10; step += 1) {
		wait(60);
		slow.recordProgress(1);
		fast.recordProgress(40);
	}

	t.strictSame(gaveWay, [], 'it is read in calm, however slow');
	t.equal(open('c1', 'c').grow(100), undefined);
	t.strictSame(gaveWay, [], 'also while there is room');
	t.equal(open('d', 'd').grow(300), undefined);
	t.strictSame(gaveWay, [['slow', 'memory']]);
});

// Guards against a customer whose many requests make progress, and who keeps out the requests of others.
await t.test('the customer with the most gives way to others', async (t) => {
	const {gaveWay, open} = createFixture();
	const [first, last] = [open('a1', 'a'), open('a2', 'a')];
	t.equal(first.grow(250), undefined);
	t.equal(last.grow(250), undefined);
	t.equal(open('b', 'b').grow(400), undefined);
	t.equal(open('c', 'c').grow(200), undefined);
	t.strictSame(gaveWay, [['a2', 'memory']]);
});

// Guards against a request that runs and is refused.
await t.test('a request that was passed on never gives way', async (t) => {
	const {gaveWay, wait, open} = createFixture();
	const running = open('a', 'a');
	running.grow(900);
	running.passOn();
	wait(10_000);
	t.equal(open('b', 'b').grow(200), 'memory');
	t.strictSame(gaveWay, []);
});

await t.test('a request gives everything back once, in each of its states', async (t) => {
	const {budget, open, wait} = createFixture();
	const idle = open('idle', 'a');
	idle.release();
	const reading = open('reading', 'a');
	reading.grow(100);
	reading.release();
	reading.release();
	t.equal(reading.grow(10), 'memory', 'nothing is taken after the release');
	const running = open('running', 'a');
	running.grow(100);
	running.passOn();
	running.release();
	const stalled = open('stalled', 'a');
	stalled.grow(500);
	wait(1000);
	const next = open('next', 'a');
	next.grow(400);
	t.equal(budget.heldBytes(), 400, 'what gave way holds nothing');
	stalled.release();
	next.release();
	t.strictSame([budget.heldBytes(), budget.count()], [0, 0]);
});

type Step = Readonly<{kind: 'open' | 'grow' | 'progress' | 'pass' | 'release' | 'wait'; which: number; amount: number}>;

const STEPS: fc.Arbitrary<readonly Step[]> = fc.array(
	fc.record({
		kind: fc.constantFrom('open', 'grow', 'grow', 'grow', 'progress', 'pass', 'release', 'wait'),
		which: fc.nat(15),
		amount: fc.nat(300),
	}),
	{maxLength: 60},
);

// Guards against bytes that nobody holds but that stay counted, against more than the budget, and against a request that
// runs and gives way.
await t.test('nothing leaks over 10,000 random sequences', async (t) => {
	fc.assert(
		fc.property(STEPS, (steps) => {
			let nowMs = 0;
			const budget = createBodyBudget({limits: LIMITS, now: () => nowMs});
			const open = new Map<Holding, {bytes: number; isPassedOn: boolean}>();
			const at = (index: number): Holding | undefined => [...open.keys()][index % Math.max(1, open.size)];
			for (const {kind, which, amount} of steps) {
				const holding = at(which);
				const state = holding && open.get(holding);
				if (kind === 'open') {
					const opened = budget.open({customer: `c${which % 4}`, source: `s${which % 3}`}, () => {
						if (open.get(opened)?.isPassedOn) {
							throw new Error('a request that was passed on gave way');
						}

						open.delete(opened);
					});
					open.set(opened, {bytes: 0, isPassedOn: false});
				} else if (kind === 'wait') {
					nowMs += amount;
				} else if (holding && state) {
					switch (kind) {
						case 'grow': {
							if (holding.grow(amount) === undefined) {
								state.bytes += amount;
							}

							break;
						}

						case 'progress': {
							holding.recordProgress(amount);
							break;
						}

						case 'pass': {
							holding.passOn();
							state.isPassedOn = true;
							break;
						}

						case 'release': {
							holding.release();
							open.delete(holding);
							break;
						}
					}
				}

				let held = 0;
				for (const {bytes} of open.values()) {
					held += bytes;
				}

				if (budget.heldBytes() !== held || held > LIMITS.budgetBytes || budget.count() !== open.size) {
					throw new Error(`${budget.heldBytes()} bytes are counted, ${held} are held`);
				}
			}

			for (const holding of open.keys()) {
				holding.release();
			}

			return budget.heldBytes() === 0 && budget.count() === 0;
		}),
		{seed: 51, numRuns: 10_000},
	);
	t.pass('10,000 sequences');
});
