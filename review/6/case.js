/* eslint no-await-in-loop: "off" */
// TWICE: the leader is killed while 600 small units work on one runner; they end before the next leader calls the runner.
import path from 'node:path';
import {runCase, sleep} from './standins.js';

const UNITS = 600;
/** Time from the first start at which all units have done their work; those that begin later are shorter. */
const WORK_MS = 5000;
/** The leader is killed this long before the ends. Its lease of 1.5 s has been renewed at most 0.35 s before, so the next leader comes after them. */
const KILL_BEFORE_MS = 700;
const JOB = '00000000000000aa';
const NEED = {cpu: 100, memMb: 100, gpu: 0};

await runCase(path.dirname(new URL(import.meta.url).pathname), async (environment) => {
	const {note, send, hasTrouble} = environment;
	const events = [];
	let firstMs;
	const runners = await environment.addRunners(4, {
		need: () => NEED,
		runMs() {
			firstMs ??= performance.now();
			return firstMs + WORK_MS - performance.now();
		},
		log(event) {
			events.push({...event, atMs: performance.now()});
		},
	});
	// The platform starts a killed process again after a short delay.
	await environment.addInstances(3, {restartMs: 1000});
	const starts = () => events.filter(({event}) => event === 'start');
	const front = environment.instances.find((instance) => instance !== environment.leader());
	const reply = await send(front, 'POST', `/batch/${JOB}`, {
		body: {spec: 'small units', steps: [{count: UNITS, ...NEED, estimateMs: WORK_MS}]},
		text: `(${UNITS} units, done after ${WORK_MS} ms)`,
	});
	if (reply.status !== 200) {
		throw new Error('the job was not accepted');
	}

	await sleep(500);
	await sleep(firstMs + WORK_MS - KILL_BEFORE_MS - performance.now());

	note(`${starts().length} units have begun, by runner: ${runners.map(({running}) => running.size).join(', ')}`);
	if (hasTrouble) {
		const killed = environment.leader();
		killed.child.kill('SIGKILL');
		note(`${killed.name} was killed (node_kill, leader)`);
	}

	await sleep(KILL_BEFORE_MS + 100);
	note(`ends that no leader has taken note of, by runner: ${runners.map(({unseen}) => unseen()).join(', ')}`);
	await sleep(10_000);
	const survivor = environment.instances.find(({child}) => child.exitCode === null && child.signalCode === null);
	await send(survivor, 'GET', `/batch/${JOB}`);

	// TWICE: a start after a run has ended `done`, if that end is taken note of then or later.
	const ends = runners.flatMap((runner) => runner.ends);
	const breaks = [];
	for (const start of starts()) {
		const earlier = ends.find(({task, how, atMs}) => task === start.task && how === 'done' && atMs < start.atMs);
		if (earlier?.notedMs !== undefined) {
			breaks.push(
				`${start.task}: run ${earlier.run} ended done on ${earlier.runner}, run ${start.run} began ${Math.round(start.atMs - earlier.atMs)} ms later on ${start.runner}, and the end was taken note of ${Math.round(earlier.notedMs - start.atMs)} ms after that`,
			);
		}
	}

	note(`${starts().length} starts of ${UNITS} units, ${breaks.length} of them after an end`);
	return breaks;
});
