/* eslint-disable no-await-in-loop */
// A work unit crashes each runner that starts it. The runner is back after four seconds, with a new id and at a new
// address, as another process is.
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	call,
	configurationOf,
	createDirectory,
	createRecord,
	createRunner,
	createStore,
	now,
	randomId,
	removeDirectory,
	sleep,
	startInstance,
	until,
} from '../11/standins.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const RUNNERS = 12;
const BACK_AFTER_MS = 4000;
const CRASH_AFTER_MS = 300;
const WATCHED_MS = 80_000;
const UNIT_MS = 1500;
/** BUDGET: three runners have crashed, and it is started three more times. */
const LIMIT_AFTER = 3;
const MORE_STARTS = 3;
const NEED = {cpu: 8000, memMb: 500, gpu: 1};

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));
const directory = createDirectory();
const store = createStore();
const instances = [];
const runners = new Map();
const deadlyId = randomId();
let generation = 0;
let crashes = 0;
/** Starts of the work unit after three runners have crashed under it. */
let startsAfter = 0;
let isOver = false;

const open = async (slot) => {
	generation += 1;
	const id = `i-${slot}-${generation}`;
	const runner = await createRunner({
		id,
		store,
		service: 'annonces',
		rack: `r1-${slot % 3}`,
		runMs: () => UNIT_MS,
		onEvent({kind, task, run, how}) {
			record(kind, task, `run ${run}`, `runner ${id}`, how ?? '');
			if (kind === 'start' && task.startsWith(deadlyId)) {
				startsAfter += crashes >= LIMIT_AFTER ? 1 : 0;
				if (HAS_TROUBLE) {
					setTimeout(crash, CRASH_AFTER_MS, id);
				}
			}
		},
	});
	runners.set(id, {runner, slot});
};

const crash = async (id) => {
	const {runner, slot} = runners.get(id);
	runners.delete(id);
	crashes += 1;
	record('crash', crashes, `runner ${id}`, `at ${runner.address}`, 'with', runner.tasks().join(' '));
	runner.lose();
	runner.close();
	await sleep(BACK_AFTER_MS);
	if (!isOver) {
		await open(slot);
	}
};

const post = async (id) => {
	const {status} = await call(instances[0].front, {
		method: 'POST',
		target: `/q/${id}`,
		host: 'jobs.example',
		key: 'key-1',
		body: {spec: JSON.stringify({need: NEED}), steps: [{count: 1, ...NEED, estimateMs: UNIT_MS}]},
	});
	record('submitted', id, `answer ${status}`);
	return status === 200;
};

const play = async () => {
	store.put('op/config', configurationOf({version: 1, routes: [{name: 'q', prefix: '/q/'}]}));
	for (let slot = 0; slot < RUNNERS; slot += 1) {
		await open(slot);
	}

	for (const name of ['edge-1', 'edge-2', 'edge-3']) {
		instances.push(await startInstance({name, store, directory}));
	}

	await until(() => instances.some((instance) => instance.isLeader()), 10_000);
	if (!(await until(async () => post(deadlyId), 5000))) {
		return 2;
	}

	const endMs = now() + WATCHED_MS;
	let state;
	const isDecided = () => startsAfter >= MORE_STARTS || state === 'completed' || state === 'failed';
	while (now() < endMs && !isDecided()) {
		// Ordinary jobs, which also lose their work when a runner crashes.
		await post(randomId());
		await sleep(1000);
		const answer = await call(instances[0].front, {
			method: 'GET',
			target: `/q/${deadlyId}`,
			host: 'jobs.example',
			key: 'key-1',
		});
		if (answer.body?.state !== state) {
			state = answer.body?.state;
			record('state', deadlyId, state);
		}
	}

	record(`${crashes} runners have crashed, started ${startsAfter} times after the third, shown as ${state}`);
	record(startsAfter >= MORE_STARTS ? 'BUDGET is broken' : 'BUDGET holds');
	return startsAfter >= MORE_STARTS ? 1 : 0;
};

let code = 2;
try {
	code = await play();
} catch (error) {
	record('could not run:', error.stack);
}

isOver = true;
for (const instance of instances) {
	await instance.kill();
}

for (const {runner} of runners.values()) {
	runner.close();
}

store.close();
removeDirectory(directory);
process.exitCode = code;
