/* eslint no-await-in-loop: "off" */
// UNASKED: a caller leaves and cancels its job; the answer is that there is no such job, but the job is stored later and runs.
import path from 'node:path';
import {openProxy, runCase, sleep} from './standins.js';

const JOB = '00000000000000aa';
const NEED = {cpu: 1000, memMb: 1000, gpu: 0};
const WORK_MS = 60_000;
/** Length of the cut between one instance and the store. */
const CUT_MS = 1800;
/** The caller leaves after this time: half of its latency target is 1.5 s. */
const LEAVE_MS = 1200;
const STABLE_WINDOW_MS = 3000;
const CANCEL_MS = 3000;
const STOP_MS = 200;

await runCase(path.dirname(new URL(import.meta.url).pathname), async (environment) => {
	const {note, send, hasTrouble, instances} = environment;
	const starts = [];
	const runners = await environment.addRunners(4, {
		need: () => NEED,
		runMs: (task) => (task.startsWith(JOB) ? WORK_MS : 500),
		log(event) {
			if (event.event !== 'start-order') {
				note(`${event.runner}: ${event.event} ${event.task} run ${event.run} ${event.how ?? ''}`);
			}

			if (event.event === 'start') {
				starts.push({...event, atMs: performance.now()});
			}
		},
	});
	const proxies = [];
	await environment.addInstances(3, {
		async storeAddressOf() {
			const proxy = await openProxy(environment.store.address);
			proxies.push(proxy);
			environment.addCloser(proxy.close);
			return proxy.address;
		},
	});
	const [front, other] = instances.filter((instance) => instance !== environment.leader());
	// Three other callers stay, so a quarter of them leaves.
	for (const id of ['00000000000000b1', '00000000000000b2', '00000000000000b3']) {
		await send(other, 'POST', `/batch/${id}`, {body: {spec: 'other', steps: [{count: 1, ...NEED, estimateMs: 500}]}});
	}

	await sleep(3000);
	const proxy = proxies[instances.indexOf(front)];
	let calmMs = performance.now();
	if (hasTrouble) {
		proxy.cut();
		note(`${front.name} is cut off from the store (core_cut)`);
		setTimeout(() => {
			proxy.heal();
			calmMs = performance.now();
			note('the cut ends');
		}, CUT_MS);
	}

	await send(front, 'POST', `/batch/${JOB}`, {
		body: {spec: 'left', steps: [{count: 2, ...NEED, estimateMs: WORK_MS}]},
		timeoutMs: LEAVE_MS,
		text: `(2 units of ${WORK_MS} ms; the caller leaves after ${LEAVE_MS} ms)`,
	});
	const cancelled = await send(other, 'DELETE', `/batch/${JOB}`);
	const acknowledgedMs = performance.now();
	if (cancelled.status !== 200 && cancelled.status !== 410) {
		throw new Error('the cancellation was not acknowledged');
	}

	// A stretch without impairment of `cancel_ms` + `stopMs`, from `stableWindowMs` after the end of the cut.
	await sleep(CUT_MS + 100);
	await sleep(Math.max(calmMs + STABLE_WINDOW_MS, acknowledgedMs) + CANCEL_MS + STOP_MS + 1000 - performance.now());
	const running = runners.flatMap((runner) => [...runner.running.keys()]).filter((task) => task.startsWith(JOB));
	await send(other, 'GET', `/batch/${JOB}`);
	return running.map((task) => {
		const atMs = starts.find((start) => start.task === task).atMs - acknowledgedMs;
		return `${task} began ${Math.round(atMs)} ms after the cancellation was acknowledged with ${cancelled.status}, and still runs ${Math.round(performance.now() - acknowledgedMs)} ms after it`;
	});
});
