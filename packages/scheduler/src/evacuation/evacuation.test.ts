import {Buffer} from 'node:buffer';
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t, {type Test} from 'tap';
import {BOUNDS, createTestCluster, EVACUATION_PREFIX, newWorker, submitStep, unitOf} from '../test/cluster.js';
import {createRecordedLog} from '../test/recorded-log.js';

const EVACUATION_MS = 5000;
const WHOLE_WORKER = newStep({accelerators: 8});

/** A cluster with a worker in each of the zones a and b, which serves evacuations. */
const createZones = (t: Test, runMs = 2000) => {
	const {log, lines} = createRecordedLog();
	const cluster = createTestCluster(
		t,
		[newWorker('wa', {availabilityZone: 'a'}), newWorker('wb', {availabilityZone: 'b'})],
		() => ({runMs, how: 'done'}),
		{bounds: {...BOUNDS, evacuationMs: EVACUATION_MS}, log, acceleratorsOf: () => 8},
	);
	const startsOn = (workerId: string) =>
		[...cluster.workers.get(workerId)!.starts.values()].reduce((sum, count) => sum + count, 0);
	return {
		...cluster,
		eventsOf: (event: string) => lines.filter((line) => line.event === event).map(({fields}) => fields),
		startsOn,
		evacuate(zone: string) {
			cluster.store.put(EVACUATION_PREFIX + zone, Buffer.from('{}'));
		},
		endEvacuation(zone: string) {
			cluster.store.remove(EVACUATION_PREFIX + zone);
		},
	};
};

// Guards against starts in a zone that is evacuated, against the end of what runs there, and against a zone that gets no
// work after its evacuation was removed.
await t.test('no unit starts in an evacuated zone until its evacuation is removed', async (t) => {
	const cluster = createZones(t, 4000);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, WHOLE_WORKER);
	await submitStep(scheduler.jobs, 2, WHOLE_WORKER);
	await cluster.clock.tickAsync(500);
	cluster.evacuate('a');
	await cluster.clock.tickAsync(200);
	await submitStep(scheduler.jobs, 3, WHOLE_WORKER);
	await submitStep(scheduler.jobs, 4, WHOLE_WORKER);
	await cluster.clock.tickAsync(7000);
	t.equal(cluster.startsOn('wa'), 1);
	t.equal(cluster.startsOn('wb'), 2);
	t.equal(cluster.startsOf(unitOf(1)) + cluster.startsOf(unitOf(2)), 2, 'what ran there has gone on');
	t.match(cluster.eventsOf('zone-evacuated'), [{zone: 'a', workers: '1', placedUnits: '1'}]);
	t.equal(cluster.eventsOf('step-unplaceable').length, 0);
	cluster.endEvacuation('a');
	await cluster.clock.tickAsync(500);
	t.equal(cluster.startsOn('wa'), 2, 'the waiting unit starts');
	t.match(cluster.eventsOf('zone-evacuation-ended'), [{zone: 'a'}]);
	t.same(cluster.violations, []);
});

// Guards against an evacuation that ends another one, and against work that is given up when no zone is left.
await t.test('several zones are evacuated at once', async (t) => {
	const cluster = createZones(t);
	const {scheduler} = cluster.startInstance('one');
	cluster.evacuate('a');
	await cluster.clock.tickAsync(500);
	cluster.evacuate('b');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, WHOLE_WORKER);
	await cluster.clock.tickAsync(20_000);
	t.equal(cluster.startsOf(unitOf(1)), 0);
	cluster.endEvacuation('b');
	await cluster.clock.tickAsync(1000);
	t.equal(cluster.startsOn('wb'), 1);
	t.equal(cluster.startsOn('wa'), 0);
});

// Guards against a further attempt at a start that got no response before the zone was evacuated.
await t.test('a start under way is not repeated in an evacuated zone', async (t) => {
	const cluster = createZones(t);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (const id of ['wa', 'wb']) {
		const {faults} = cluster.workers.get(id)!;
		faults.responseLossMs = 1000;
		faults.script.start = ['dropped'];
	}

	await submitStep(scheduler.jobs, 1, WHOLE_WORKER);
	await cluster.clock.tickAsync(150);
	t.equal(cluster.eventsOf('part-start').length, 1);
	cluster.evacuate('a');
	cluster.evacuate('b');
	await cluster.clock.tickAsync(8000);
	t.equal(cluster.startsOf(unitOf(1)), 0);
	cluster.endEvacuation('a');
	cluster.endEvacuation('b');
	await cluster.clock.tickAsync(3000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.same(cluster.violations, []);
});

// Guards against starts by a leader that has not heard of the evacuation for longer than the limit.
await t.test('no unit starts while the watch on evacuations is silent for longer than the limit', async (t) => {
	const cluster = createZones(t);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(1000);
	cluster.store.faults.silentWatches.add(EVACUATION_PREFIX);
	cluster.evacuate('a');
	await cluster.clock.tickAsync(EVACUATION_MS);
	for (let id = 1; id <= 4; id += 1) {
		await submitStep(scheduler.jobs, id, WHOLE_WORKER);
	}

	await cluster.clock.tickAsync(5000);
	t.equal(cluster.startsOn('wa'), 0);
	t.equal(cluster.eventsOf('starts-paused').length, 1);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(9000);
	t.equal(cluster.startsOn('wa'), 0);
	t.equal(cluster.startsOn('wb'), 4);
});

// Guards against a new leader that starts units before it knows the evacuations, and against one that forgets them.
await t.test('a new leader starts nothing in a zone that was evacuated before its term', async (t) => {
	const cluster = createZones(t);
	const leader = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const other = cluster.startInstance('two');
	cluster.evacuate('a');
	await cluster.clock.tickAsync(500);
	cluster.store.faults.slowListings.set(EVACUATION_PREFIX, 2000);
	leader.crash();
	for (let id = 1; id <= 3; id += 1) {
		await submitStep(other.scheduler.jobs, id, WHOLE_WORKER);
	}

	await cluster.clock.tickAsync(20_000);
	t.equal(cluster.startsOn('wa'), 0);
	t.equal(cluster.startsOn('wb'), 3);
});

// Guards against an evacuation or its end that is missed when the store has forgotten its history.
await t.test('evacuations are read again after a compaction', async (t) => {
	const cluster = createZones(t);
	const {scheduler} = cluster.startInstance('one');
	cluster.evacuate('a');
	await cluster.clock.tickAsync(1000);
	cluster.store.faults.silentWatches.add(EVACUATION_PREFIX);
	cluster.endEvacuation('a');
	cluster.evacuate('b');
	await cluster.clock.tickAsync(2000);
	cluster.store.faults.isCompacted = true;
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(1000);
	await submitStep(scheduler.jobs, 1, WHOLE_WORKER);
	await submitStep(scheduler.jobs, 2, WHOLE_WORKER);
	await cluster.clock.tickAsync(6000);
	t.equal(cluster.startsOn('wa'), 2);
	t.equal(cluster.startsOn('wb'), 0);
});

// Guards against starts on a view from before an outage of the store, during which no evacuation can be read.
await t.test('an evacuation after an outage of the store is kept', async (t) => {
	const cluster = createZones(t);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(1000);
	await submitStep(scheduler.jobs, 1, WHOLE_WORKER);
	await submitStep(scheduler.jobs, 2, WHOLE_WORKER);
	await submitStep(scheduler.jobs, 3, WHOLE_WORKER);
	cluster.store.faults.isDown = true;
	cluster.store.pauseLeases();
	await cluster.clock.tickAsync(EVACUATION_MS);
	const before = cluster.startsOn('wa');
	cluster.evacuate('a');
	cluster.store.faults.isDown = false;
	cluster.store.resumeLeases();
	await cluster.clock.tickAsync(10_000);
	t.equal(cluster.startsOn('wa'), before);
	t.equal(cluster.startsOn('wa') + cluster.startsOn('wb'), 3);
});

// Guards against calls to the store, and against pauses of starts, in deployments without evacuations; and against a
// bound that a reload brings and that is not served until the next term.
await t.test('evacuations are served only while the settings have their bound', async (t) => {
	const bounds = {...BOUNDS};
	const cluster = createTestCluster(t, [newWorker('wa')], undefined, {bounds});
	const listed: string[] = [];
	const {list} = cluster.store;
	Object.assign(cluster.store, {
		async list(prefix: string) {
			listed.push(prefix);
			return list(prefix);
		},
	});

	const {scheduler} = cluster.startInstance('one');
	cluster.store.put(`${EVACUATION_PREFIX}a`, Buffer.from('{}'));
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(1000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.notOk(listed.includes(EVACUATION_PREFIX));
	Object.assign(bounds, {evacuationMs: EVACUATION_MS});
	await cluster.clock.tickAsync(2000);
	await submitStep(scheduler.jobs, 2);
	await cluster.clock.tickAsync(3000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	Object.assign(bounds, {evacuationMs: undefined});
	await cluster.clock.tickAsync(3000);
	t.equal(cluster.startsOf(unitOf(2)), 1);
});
