/** Pattern: a change of leader between the starts of one gang. Workers let a member that began wait for the others. */
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t, {type Test} from 'tap';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';
import {createRecordedLog} from './test/recorded-log.js';

const MEMBERS = [unitOf(1, 0), unitOf(1, 1)];

const LARGER_GANG = [0, 1, 2].map((index) => unitOf(2, index));
const RUN_MS = 3000;

/** So long that a run without progress does not count as stalled before its worker gives it up. */
const ESTIMATE_MS = 20_000;

const GANG = newStep({count: 2, gang: true, accelerators: 8, estimateMs: ESTIMATE_MS});

/** Workers, each of which has room for one member of a gang of two, and two instances of which the first one leads. */
const createFixture = async (t: Test, workers: readonly string[] = ['w1', 'w2']) => {
	const {log, lines} = createRecordedLog();
	const cluster = createTestCluster(
		t,
		workers.map((id) => newWorker(id)),
		() => ({runMs: RUN_MS, how: 'done'}),
		{
			log,
			acceleratorsOf: () => 8,
			gangUnitsOf: (unit) => (LARGER_GANG.includes(unit) ? LARGER_GANG : MEMBERS),
		},
	);
	const first = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const second = cluster.startInstance('two');
	await cluster.clock.tickAsync(500);
	return {cluster, lines, first, second, faults: cluster.workers.get('w2')!.faults};
};

type Fixture = Awaited<ReturnType<typeof createFixture>>;

/** How a leader loses its term between two starts of a gang. */
type TermLoss = Readonly<{
	name: string;
	/** Runs before the gang is submitted. */
	prepare?: (fixture: Fixture) => Promise<void>;
	/** Runs when the first member has been started. */
	end?: (fixture: Fixture) => void;
}>;

const TERM_LOSSES: readonly TermLoss[] = [
	{
		name: 'crashes',
		end({first}) {
			first.crash();
		},
	},
	{
		name: 'resigns',
		end({first}) {
			first.scheduler.resign();
		},
	},
	{
		name: 'cannot renew its lease',
		// The lease ends between the first two attempts at the start of the second member.
		async prepare({cluster}) {
			cluster.store.faults.silentRenewals = 6;
			await cluster.clock.tickAsync(850);
		},
	},
];

/** Submits the gang and ends the term of the leader while the start of the second member has no connection. */
const splitGang = async (t: Test, fixture: Fixture, {prepare, end}: TermLoss) => {
	const {cluster, first, faults} = fixture;
	await prepare?.(fixture);
	faults.patterns.start = ['unsent'];
	faults.responseLossMs = 10_000;
	await submitStep(first.scheduler.jobs, 1, GANG);
	await cluster.clock.tickAsync(150);
	t.equal(cluster.startsOf(MEMBERS[0]!) + cluster.startsOf(MEMBERS[1]!), 1, 'one member was started');
	end?.(fixture);
	await cluster.clock.tickAsync(100);
	faults.patterns.start = [];
};

// Guards against a member of a gang that a new leader adopts and leaves alone: it waits for the others until its worker gives
// it up, and the gang keeps its accelerators meanwhile.
for (const loss of TERM_LOSSES) {
	await t.test(`a gang of which one member was started when the leader ${loss.name} runs whole`, async (t) => {
		const fixture = await createFixture(t);
		const {cluster, second} = fixture;
		await splitGang(t, fixture, loss);
		await cluster.clock.tickAsync(12_000);
		t.same(cluster.violations, []);
		t.equal(await second.scheduler.jobs.state(addressOf(1)), 'completed');
	});
}

// Guards against a member that waits as long as a worker that does not respond may hold a lease.
await t.test('a member that waits is stopped although another worker does not respond to the new leader', async (t) => {
	const fixture = await createFixture(t, ['w1', 'w2', 'w3']);
	const {cluster, second} = fixture;
	cluster.workers.get('w3')!.faults.isCutOff = true;
	await splitGang(t, fixture, TERM_LOSSES[0]!);
	await cluster.clock.tickAsync(20_000);
	t.same(cluster.violations, []);
	t.equal(await second.scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a member that is adopted after the end of another one was taken up, so that this end does not stop it.
await t.test('a member that waits is stopped although the end of another one was reported first', async (t) => {
	const {cluster, first, second} = await createFixture(t, ['w1', 'w2', 'w3']);
	const waiting = cluster.workers.get('w3')!.faults;
	waiting.patterns.start = ['unsent'];
	waiting.responseLossMs = 10_000;
	cluster.workers.get('w2')!.faults.reportDelayMs = 200;
	await submitStep(first.scheduler.jobs, 2, {...GANG, count: 3});
	await cluster.clock.tickAsync(150);
	const runs = ['w1', 'w2'].flatMap((id) => cluster.workers.get(id)!.running());
	t.equal(runs.length, 2);
	// The last order of the first leader.
	await cluster.workers
		.get('w1')!
		.port()
		.stop(
			{...cluster.workers.get('w1')!.running()[0]!, token: 1},
			{
				signal: new AbortController().signal,
				maySend: () => true,
			},
		);
	first.crash();
	await cluster.clock.tickAsync(100);
	waiting.patterns.start = [];
	await cluster.clock.tickAsync(12_000);
	t.same(cluster.violations, []);
	t.equal(await second.scheduler.jobs.state(addressOf(2)), 'completed');
});

// Guards against a gang at work that is stopped and run again because one of its workers is slow to respond.
await t.test('a gang at work is left alone while one of its workers does not respond to the new leader', async (t) => {
	const fixture = await createFixture(t);
	const {cluster, first, second, faults} = fixture;
	await submitStep(first.scheduler.jobs, 1, GANG);
	await cluster.clock.tickAsync(300);
	first.crash();
	faults.isCutOff = true;
	await cluster.clock.tickAsync(2500);
	faults.isCutOff = false;
	await cluster.clock.tickAsync(2000);
	t.equal(await second.scheduler.jobs.state(addressOf(1)), 'completed');
	t.same(
		MEMBERS.map((unit) => cluster.startsOf(unit)),
		[1, 1],
	);
	t.same(cluster.violations, []);
});

// Guards against a report of a run that ended alone that does not tell a leader's own split of a gang from one that it took over.
await t.test('the end of a member that waited in vain is logged with the terms and the known members', async (t) => {
	const fixture = await createFixture(t);
	const {cluster, lines, second} = fixture;
	await splitGang(t, fixture, TERM_LOSSES[0]!);
	second.crash();
	await cluster.clock.tickAsync(4000);
	cluster.startInstance('three');
	await cluster.clock.tickAsync(12_000);
	const end = lines.find(({event}) => event === 'gang-alone');
	t.match(end?.fields, {unit: MEMBERS[0], run: '1', runTerm: '1', term: '2', members: '2', placed: '0'});
	t.same(
		cluster.violations.map(({rule}) => rule),
		['alone'],
		'no leader could have prevented it',
	);
});
