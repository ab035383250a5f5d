// Stand-in for a runner, as PROTOCOL.md describes it. It rejects what does not fit (`admissionCheck` is true).
import {createServer} from 'node:http';
import {readBody, sendJson} from './store.js';

const TICK_MS = 20;
const MAX_ENDS_IN_REPORT = 500;
const STARTUP_MS = 300;
/** A grey runner fails one of this many units that it starts, the first one included. */
const GREY_PERIOD = 3;
/** Time after which such a unit fails. */
const GREY_FAILURE_MS = 50;

const percentOf = (ranMs, lengthMs) =>
	lengthMs === Number.POSITIVE_INFINITY
		? Math.min(100, Math.floor((100 * ranMs) / STARTUP_MS))
		: Math.min(99, Math.floor((100 * ranMs) / lengthMs));

/**
Creates the gangs of all runners. The members of a gang work from the moment when all of them are present, end `done` together,
and end `broken` when one of them ends otherwise.
*/
export const createGangs = () => {
	const gangs = new Map();
	const keyOf = (task, run) => `${task.slice(0, task.lastIndexOf('.'))} ${run}`;
	return {
		join(task, run, size, member) {
			const key = keyOf(task, run);
			const gang = gangs.get(key) ?? {members: new Map(), isWhole: false};
			gangs.set(key, gang);
			gang.members.set(task, member);
			if (gang.members.size === size) {
				gang.isWhole = true;
				for (const {begin} of gang.members.values()) {
					begin();
				}
			}
		},
		leave(task, run, how) {
			const gang = gangs.get(keyOf(task, run));
			if (gang?.members.delete(task)) {
				for (const {end} of gang.members.values()) {
					end(how === 'done' ? 'done' : 'broken');
				}
			}
		},
	};
};

/**
Starts a runner, which registers itself in the store. The text of a unit's `spec` says how long it works: {"ms": 300}.
With {"lasting": true} it works until it is stopped, and is at work after a short startup.
`shapeOf` returns the resources of a unit, since orders do not carry them.
*/
export const startRunner = async ({
	id,
	service,
	zone,
	capacity,
	labels,
	store,
	bounds,
	heartbeatMs,
	shapeOf,
	gangs,
	record,
}) => {
	const bornMs = Date.now();
	const originMs = performance.now();
	const clockMs = () => Math.round(performance.now() - originMs) + 100_000;
	const running = new Map();
	/** Highest run that was stopped or has ended here, by unit. */
	const closedRuns = new Map();
	let finished = [];
	let endCount = 0;
	let fence = 0;
	let leaseEndMs = 0;
	let sequence = 0;
	const waiting = new Set();
	let isGrey = false;
	let greyStarts = 0;

	const used = (field) => [...running.values()].reduce((sum, {shape}) => sum + (shape[field] ?? 0), 0);
	const hasRoom = (shape) =>
		['cpu', 'memMb', 'gpu'].every((field) => used(field) + (shape[field] ?? 0) <= (capacity[field] ?? 0));

	const end = (task, how) => {
		const {run, shape} = running.get(task);
		running.delete(task);
		closedRuns.set(task, Math.max(run, closedRuns.get(task) ?? 0));
		endCount += 1;
		finished.push([endCount, task, run, how, '']);
		record('end', {runner: id, task, run, how});
		for (const wake of waiting) {
			wake();
		}

		if (shape.gang) {
			gangs.leave(task, run, how);
		}
	};

	const extendLease = (untilMs = 0) => {
		leaseEndMs = Math.max(leaseEndMs, Math.min(untilMs, clockMs() + bounds.holdMaxMs));
	};

	const tick = setInterval(() => {
		for (const [task, {startedMs, beganMs, lengthMs, failsAfterMs, stopAtMs}] of running) {
			if (!running.has(task)) {
				continue;
			}

			if (stopAtMs !== undefined && clockMs() >= stopAtMs) {
				end(task, 'stopped');
			} else if (clockMs() >= leaseEndMs) {
				end(task, 'lapsed');
			} else if (beganMs === undefined && clockMs() - startedMs >= bounds.gangMs) {
				end(task, 'alone');
			} else if (clockMs() - beganMs >= failsAfterMs) {
				end(task, 'failed');
			} else if (clockMs() - beganMs >= lengthMs) {
				end(task, 'done');
			}
		}
	}, TICK_MS);

	const writeReport = () => {
		sequence += 1;
		const report = {
			service,
			address,
			zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			coldRemainingMs: 0,
			capacity,
			labels,
			clockMs: clockMs(),
			born: bornMs,
			sequence,
		};
		store.put(`servers/${id}`, JSON.stringify(report));
	};

	const start = ({task, run, spec, untilMs}) => {
		const current = running.get(task);
		if (current?.run === run) {
			extendLease(untilMs);
			return [200, {}];
		}

		if (run <= (closedRuns.get(task) ?? 0) || (current && run < current.run)) {
			extendLease(untilMs);
			return [409, {reason: 'old'}];
		}

		if (untilMs <= clockMs()) {
			return [409, {reason: 'late'}];
		}

		const shape = shapeOf(task);
		if (current || !hasRoom(shape)) {
			extendLease(untilMs);
			return [409, {reason: 'room'}];
		}

		extendLease(untilMs);
		const {ms, lasting} = JSON.parse(spec);
		const isFailing = isGrey && greyStarts % GREY_PERIOD === 0;
		greyStarts += isGrey ? 1 : 0;
		const failsAfterMs = isFailing ? GREY_FAILURE_MS : Number.POSITIVE_INFINITY;
		const lengthMs = lasting ? Number.POSITIVE_INFINITY : ms;
		const entry = {run, shape, startedMs: clockMs(), beganMs: undefined, lengthMs, failsAfterMs, stopAtMs: undefined};
		running.set(task, entry);
		record('start', {runner: id, task, run});
		const begin = () => {
			entry.beganMs = clockMs();
		};

		if (shape.gang) {
			gangs.join(task, run, shape.count, {
				begin,
				end(how) {
					if (running.get(task) === entry) {
						end(task, how);
					}
				},
			});
		} else {
			begin();
		}

		return [200, {}];
	};

	const stop = ({task, run}) => {
		closedRuns.set(task, Math.max(run, closedRuns.get(task) ?? 0));
		const current = running.get(task);
		if (current?.run === run) {
			current.stopAtMs ??= clockMs() + bounds.stopMs / 2;
			record('stop', {runner: id, task, run});
		}

		return [200, {}];
	};

	const hold = async ({untilMs, lastSeen = 0, waitMs = 0}, response) => {
		extendLease(untilMs);
		finished = finished.filter(([number]) => number > lastSeen);
		if (finished.length === 0 && waitMs > 0) {
			await new Promise((resolve) => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(2000, waitMs));
				waiting.add(wake);
				response.once('close', wake);
			});
		}

		const rows = [...running].map(([task, {run, beganMs, lengthMs}]) => [
			task,
			run,
			'',
			beganMs === undefined ? 0 : percentOf(clockMs() - beganMs, lengthMs),
			0,
		]);
		return [200, {born: bornMs, running: rows, finished: finished.slice(0, MAX_ENDS_IN_REPORT)}];
	};

	const handle = async (request, response) => {
		const expected = request.headers['x-bergamotgauge-expected-instance'];
		if (request.method === 'GET') {
			sendJson(response, 200, {});
			return;
		}

		const body = await readBody(request);
		if (expected !== undefined && expected !== id) {
			sendJson(response, 421, {});
			return;
		}

		if ((body.fence ?? 0) < fence) {
			sendJson(response, 409, {clockMs: clockMs(), reason: 'fence'});
			return;
		}

		fence = body.fence ?? 0;
		const calls = {'/run-start': start, '/run-stop': stop, '/hold': hold};
		const call = calls[request.url];
		const [status, reply] = call ? await call(body, response) : [200, {}];
		sendJson(response, status, {clockMs: clockMs(), ...reply});
	};

	const server = createServer(async (request, response) => {
		try {
			await handle(request, response);
		} catch {
			// The caller has gone.
			request.socket.destroy();
		}
	});
	await new Promise((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${server.address().port}`;
	writeReport();
	const beat = setInterval(writeReport, heartbeatMs);
	return {
		id,
		labels,
		capacity,
		used,
		hasRoom,
		runs: () => [...running].map(([task, {run}]) => ({task, run})),
		unacknowledged: () => finished.length,
		/** While it is grey, the runner fails a part of what it starts. */
		setGrey(next) {
			isGrey = next;
			record('grey', {runner: id, isGrey});
		},
		close() {
			clearInterval(tick);
			clearInterval(beat);
			server.closeAllConnections();
			server.close();
		},
	};
};
