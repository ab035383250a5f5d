/* eslint-disable no-await-in-loop */
// Plays jobs on a small deployment.
import {setTimeout as sleep} from 'node:timers/promises';
import {BOUNDS, call, createRecord, EXIT, HEARTBEAT_MS, PLATFORM, startInstances} from './deployment.js';
import {createGangs, startRunner} from './runner.js';
import {startStore} from './store.js';

const HOST = 'nony24.example';
const SERVICE = 'huvo11a';
/** Times for which a job has to be without a run in spite of free capacity before the rule is broken. */
const IDLE_MS = 3000;
const SAMPLE_MS = 100;
const RETRIES = 4;
const RETRY_MS = 1000;
const DEFAULT_TENANTS = [{name: 'kaje80', apiKeys: ['d4a3hwrr6x73d3zji9n7'], priority: 1}];

const isEnded = (state) => state === 'completed' || state === 'failed' || state === 'cancelled';

const configurationOf = (queues, tenants) => ({
	version: 7,
	routes: queues.map(({name, ...queue}) => ({
		name,
		host: HOST,
		prefix: `/${name}/`,
		routeType: 'non_idempotent',
		timeoutMs: 3000,
		service: SERVICE,
		public: false,
		...queue,
	})),
	services: [{name: SERVICE, healthCheck: '/health', maxConnections: 64, protocol: 'h1', admissionCheck: true}],
	limits: {maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
	tenants,
});

export const jobIdOf = (task) => task.split('.')[0];

/** A source of job ids. */
export const createJobIds = () => {
	let count = 0;
	return () => {
		count += 1;
		return `5c0e7a21d94b${(0x10_00 + count).toString(16)}`;
	};
};

/** Runners of 128 cores, 256 GB and 8 GPUs, 8 a rack, of the given kinds. */
export const runnersOf = (kinds) =>
	kinds.map((kind, index) => ({
		id: `i-${(0x7f_3a_91 + index).toString(16)}`,
		capacity: {cpu: 128_000, memMb: 262_144, gpu: 8},
		labels: [kind, `r1-${1 + Math.floor(index / 8)}`],
	}));

/** Starts the store, the runners and three instances. */
export const openDeployment = async ({folder, queues, runners: runnerOptions, jobs, tenants = DEFAULT_TENANTS}) => {
	const record = createRecord(`${folder}record.txt`);
	const store = await startStore(PLATFORM);
	store.put('op/config', JSON.stringify(configurationOf(queues, tenants)));
	const shapes = new Map(jobs.map(({id, steps}) => [id, steps[0]]));
	const gangs = createGangs();
	const runners = await Promise.all(
		runnerOptions.map(async (options) =>
			startRunner({
				service: SERVICE,
				zone: 'a',
				store,
				bounds: BOUNDS,
				heartbeatMs: HEARTBEAT_MS,
				shapeOf: (task) => shapes.get(jobIdOf(task)),
				gangs,
				record: record.add,
				...options,
			}),
		),
	);
	const deployment = await startInstances({names: ['one', 'two', 'three'], storeAddress: store.address, record});
	let turn = 0;
	const ask = async (method, job, body) => {
		turn += 1;
		const {front} = deployment.instances[turn % deployment.instances.length];
		const key = tenants.find(({name}) => name === (job.tenant ?? tenants[0].name)).apiKeys[0];
		return call({address: front, method, path: `/${job.queue}/${job.id}`, host: HOST, key, body});
	};

	return {
		record,
		store,
		runners,
		ask,
		isServing: deployment.isServing,
		async submit(job) {
			const {id, queue, steps, note, ...spec} = job;
			const body = {spec: JSON.stringify({ms: spec.ms, lasting: spec.lasting}), steps};
			for (let attempt = 1; attempt <= RETRIES && !job.isAccepted; attempt += 1) {
				const {status} = await ask('POST', job, body);
				record.add('submitted', {job: id, queue, attempt, status, ...(note && {note})});
				job.isAccepted = status >= 200 && status < 300;
				if (!job.isAccepted) {
					await sleep(RETRY_MS);
				}
			}
		},
		/** Ends all processes and writes the record; resolves to the exit code. */
		async finish(code) {
			await deployment.close();
			for (const runner of runners) {
				runner.close();
			}

			store.close();
			record.add('result', {rule: Object.keys(EXIT).find((name) => EXIT[name] === code)});
			record.write();
			return code;
		},
	};
};

/**
Submits the jobs at their times, waits `finish_s` after the last one, and then watches for `watchMs` whether, for `IDLE_MS`, a job has
nothing running though there is capacity for its next unit twice over and under half of the capacity is in use.
Resolves to the exit code.
*/
export const runScenario = async (options) => {
	const {jobs, watchMs = IDLE_MS + 1500, onTraffic} = options;
	const {record, store, runners, ask, submit, isServing, finish} = await openDeployment(options);
	if (!isServing()) {
		record.add('not-serving');
		return finish(EXIT.failed);
	}

	// The first leader needs a moment, as before the start of the traffic.
	await sleep(5000);
	record.add('traffic-starts');
	const startMs = performance.now();
	onTraffic?.({runners, record});
	await Promise.all(
		jobs.map(async (job) => {
			await sleep(job.atMs);
			await submit(job);
		}),
	);
	const trafficEndMs = performance.now();
	record.add('traffic-ended', {afterMs: Math.round(trafficEndMs - startMs)});
	await sleep(BOUNDS.finish_s * 1000);

	/** Since when each job has had nothing running in spite of free capacity. */
	const idleSince = new Map();
	const longestIdleMs = new Map();
	let broken = 0;
	const readStates = async () => {
		for (const job of jobs.filter(({isAccepted, state}) => isAccepted && !isEnded(state))) {
			const {status, body} = await ask('GET', job);
			job.state = body.state;
			record.add('state', {job: job.id, status, state: job.state, ...(job.note && {note: job.note})});
		}
	};

	/** Whether there is room for the next unit of the job twice over. */
	const hasRoomTwice = ({steps: [shape]}) => {
		const doubled = Object.fromEntries(['cpu', 'memMb', 'gpu'].map((field) => [field, 2 * (shape[field] ?? 0)]));
		const suitable = runners.filter(({labels}) => !shape.requirements || labels.includes(shape.requirements));
		const members = shape.gang ? shape.count : 1;
		return (
			suitable.filter(({hasRoom}) => hasRoom(shape)).length >= 2 * members ||
			(members === 1 && suitable.some(({hasRoom}) => hasRoom(doubled)))
		);
	};

	const isUnderHalf = () =>
		['cpu', 'gpu'].every((field) => {
			const total = runners.reduce((sum, {capacity}) => sum + capacity[field], 0);
			return 2 * runners.reduce((sum, {used}) => sum + used(field), 0) < total;
		});

	await readStates();
	const untilMs = performance.now() + watchMs;
	while (performance.now() < untilMs) {
		const busy = new Set(runners.flatMap(({runs}) => runs().map(({task}) => jobIdOf(task))));
		for (const job of jobs.filter(({isAccepted, state}) => isAccepted && !isEnded(state))) {
			if (busy.has(job.id) || !isUnderHalf() || !hasRoomTwice(job)) {
				idleSince.delete(job.id);
			} else {
				const sinceMs = idleSince.get(job.id) ?? performance.now();
				idleSince.set(job.id, sinceMs);
				longestIdleMs.set(job.id, Math.max(longestIdleMs.get(job.id) ?? 0, performance.now() - sinceMs));
			}
		}

		await sleep(SAMPLE_MS);
	}

	await readStates();
	for (const job of jobs.filter(({state}) => !isEnded(state))) {
		const idleMs = Math.round(longestIdleMs.get(job.id) ?? 0);
		if (idleMs >= IDLE_MS) {
			broken += 1;
			record.add('LOST', {job: job.id, queue: job.queue, state: job.state, nothingRunsForMs: idleMs});
		}
	}

	const accepted = jobs.filter(({isAccepted}) => isAccepted);
	record.add('summary', {
		jobs: jobs.length,
		accepted: accepted.length,
		hopeless: jobs.filter(({note}) => note === 'hopeless').length,
		completed: accepted.filter(({state}) => state === 'completed').length,
		lost: broken,
		callsRefusedByStore: store.rate.refused,
	});
	if (!isServing()) {
		record.add('process-not-running');
		return finish(EXIT.failed);
	}

	return finish(broken > 0 ? EXIT.broken : EXIT.held);
};
