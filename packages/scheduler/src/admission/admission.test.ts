import {newJob, newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {newWorker} from '../test/cluster.js';
import {createAdmission} from './admission.js';
import {FLEET_SETTLED_MS, MEMORY_RETRY_MAX_MS, MEMORY_RETRY_MIN_MS, OWN_COUNT_MS} from './constants.js';
import {checkFleet, createFleetSizes} from './fleet.js';
import {memoryLimitBytes, memoryNeedOf} from './memory.js';
import type {AdmissionRequest} from './types.js';

/** Most units that a job may have. */
const MAX_UNITS_PER_JOB = 5000;

/** The smallest machine of the largest deployment. */
const LIMIT_BYTES = memoryLimitBytes({memoryMb: 210, heapBytes: 160 * 1024 * 1024});

const largeJob = (id: number) => newJob(newSubmission(id, [newStep({count: MAX_UNITS_PER_JOB})]));

const createFixture = (isVacant = () => false) => {
	let nowMs = 0;
	const admission = createAdmission({
		limitBytes: LIMIT_BYTES,
		guaranteeOf: () => 0,
		isVacant,
		now: () => nowMs,
		random: () => 0.5,
	});
	return {
		admission,
		admitMany: (from: number, count: number) =>
			Array.from({length: count}, (_value, index) => admission.admit(largeJob(from + index)) === undefined).filter(
				Boolean,
			).length,
		advance(ms: number) {
			nowMs += ms;
		},
		publish(bytes: number, limitBytes = LIMIT_BYTES) {
			admission.setBacklog({bytes, limitBytes, largestWorkers: {}, demand: {}});
		},
	};
};

// Guards against a burst of large jobs that ends every leader by memory: 20 jobs of 5,000 units within a second.
await t.test('a burst of large jobs is admitted only as far as memory allows', async (t) => {
	const {admission, admitMany, advance, publish} = createFixture();
	const first = admitMany(1, 20);
	t.ok(first >= 1 && first * memoryNeedOf(largeJob(1)) <= LIMIT_BYTES / 4, `${first} jobs`);
	const refusal = admission.admit(largeJob(30));
	t.match(refusal, {reason: 'memory', code: 'overloaded'});
	t.ok(refusal!.retryAfterMs! > MEMORY_RETRY_MIN_MS && refusal!.retryAfterMs! < MEMORY_RETRY_MAX_MS);

	publish(LIMIT_BYTES - memoryNeedOf(largeJob(1)) / 2);
	advance(OWN_COUNT_MS);
	t.equal(admitMany(40, 3), 0, 'what the leader counts takes up room');
	t.equal(admission.admit(newJob(newSubmission(50))), undefined, 'a small job still fits');
	publish(0);
	advance(OWN_COUNT_MS);
	t.equal(admitMany(60, 1), 1, 'room that has come free is used');
});

// Guards against a refusal of a single job that the project allows, by the smallest machine in calm.
await t.test('the largest job is admitted while nothing waits', async (t) => {
	for (const memoryMb of [80, 210, undefined]) {
		const limitBytes = memoryLimitBytes({memoryMb, heapBytes: 160 * 1024 * 1024});
		const admission = createAdmission({
			limitBytes,
			guaranteeOf: () => 0,
			isVacant: () => false,
			now: () => 0,
			random: () => 0,
		});
		t.equal(admission.admit(largeJob(1)), undefined);
	}
});

// Guards against admission that starts anew every few seconds while no leader counts what was admitted.
await t.test('what was admitted stays counted while nobody leads', async (t) => {
	const {admitMany, advance} = createFixture(() => true);
	const first = admitMany(1, 20);
	advance(10 * OWN_COUNT_MS);
	t.ok(first >= 1);
	t.equal(admitMany(30, 20), 0);
});

// Guards against callers that use up the memory by repeating a submission, and against jobs counted that were not stored.
await t.test('a repeated submission and one that was not stored do not count', async (t) => {
	const {admission, admitMany} = createFixture();
	for (let attempt = 0; attempt < 20; attempt += 1) {
		t.equal(admission.admit(largeJob(1)), undefined);
	}

	admission.release(largeJob(1));
	t.equal(admitMany(2, 1), 1);
});

// Guards against a large instance that accepts what a smaller leader cannot hold.
await t.test('the smaller limit of the leader and the instance counts', async (t) => {
	const {admission, publish} = createFixture();
	publish(0, memoryNeedOf(largeJob(1)) - 1);
	t.match(admission.admit(largeJob(1)), {reason: 'memory'});
});

const requestOf = (step: Partial<ReturnType<typeof newStep>>, largestWorkers: object): AdmissionRequest => ({
	job: newJob({service: 'matching', steps: [newStep(), newStep(step)]}),
	backlog: {bytes: 0, limitBytes: LIMIT_BYTES, largestWorkers: {...largestWorkers}, demand: {}},
	backlogAgeMs: 0,
	isGuaranteed: false,
	ownBytes: 0,
	limitBytes: LIMIT_BYTES,
	random: 0,
});

// Guards against jobs that wait for ever for a worker that no service has, and against refusals of those that can run.
await t.test('a unit that is larger than every worker is refused with the reason', async (t) => {
	const sizes = createFleetSizes();
	const workers = [newWorker('w1'), newWorker('w2', {capacity: {cpuMillis: 8000, memoryMb: 128_000, accelerators: 0}})];
	sizes.observe(workers, 0);
	const largest = sizes.largest(FLEET_SETTLED_MS);
	const check = (step: Partial<ReturnType<typeof newStep>>) => checkFleet(requestOf(step, largest));
	t.match(check({accelerators: 9}), {reason: 'fleet', code: 'impossible', message: /step 1 .*9 accelerators/v});
	t.ok(check({accelerators: 1, memoryMb: 100_000}), 'no single worker has both');
	t.notOk(check({accelerators: 8}));
	t.notOk(check({accelerators: 0, memoryMb: 100_000}));
	t.notOk(check({requiredLabel: 'c'}), 'workers with a label may join');
	t.notOk(check({cpuMillis: 1e6, usesLeftover: true}), 'best-effort units reserve no cores');
});

// Guards against an outage, a start or a fleet that grows being taken for workers that never come.
await t.test('the sizes of workers count only when they are certain', async (t) => {
	const sizes = createFleetSizes();
	sizes.observe([newWorker('w1')], 0);
	t.same(sizes.largest(FLEET_SETTLED_MS - 1), {});
	sizes.observe([], FLEET_SETTLED_MS);
	const largest = sizes.largest(FLEET_SETTLED_MS);
	t.notOk(checkFleet(requestOf({accelerators: 8}, largest)), 'workers that are away count');
	sizes.observe(
		[newWorker('w2', {capacity: {cpuMillis: 64_000, memoryMb: 64_000, accelerators: 16}})],
		FLEET_SETTLED_MS,
	);
	t.same(sizes.largest(FLEET_SETTLED_MS), {}, 'larger workers have begun to join');
	t.notOk(checkFleet(requestOf({accelerators: 99}, {})), 'a service without certain sizes');
	t.notOk(checkFleet({...requestOf({accelerators: 99}, {}), backlog: undefined}));
});
