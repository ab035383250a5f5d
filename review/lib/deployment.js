/* eslint-disable no-await-in-loop */
// Starts the program as several processes with the command of the deploy file, and calls them as requesters do.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const START_TIMEOUT_MS = 15_000;

/** The bounds of a small site, as in its settings file. */
const BOUNDS_TEXT = `
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
revokeMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
farX = 3
restoreMs = 100
noticeMs = 4500
upkeepS = 2
leaseMs = 3000
paceMs = 100
harmMs = 4000
reclaimMs = 2900`;

/** Time between two reports of a runner. */
export const HEARTBEAT_MS = 1500;

export const BOUNDS = Object.fromEntries(
	BOUNDS_TEXT.trim()
		.split('\n')
		.map((line) => line.split(' = '))
		.map(([key, value]) => [key, Number(value)]),
);

export const PLATFORM = {writesPerS: 400, readsPerS: 2000, valueBytes: 1_048_576, ttlMinMs: 1000};

const settingsText = (name, storeAddress) => `
nodeId = "${name}"
role = "instance"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "a"
region = "r"
portRange = [0, 0]
heartbeatMs = ${HEARTBEAT_MS}
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"]
orders = "call"
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
[bounds]${BOUNDS_TEXT}
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = ${PLATFORM.writesPerS}
readsPerS = ${PLATFORM.readsPerS}
historyS = 20
valueBytes = ${PLATFORM.valueBytes}
ttlMinMs = ${PLATFORM.ttlMinMs}
`;

/** The command of the deploy file's role. */
const readCommand = () => {
	const [, run] = /^run = "(.+)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	return run.split(' ');
};

/** Collects what happens in the order in which it is seen, and writes it to a file. */
export const createRecord = (file) => {
	const startMs = performance.now();
	const lines = [];
	return {
		add(event, fields = {}) {
			const seconds = ((performance.now() - startMs) / 1000).toFixed(3);
			const text = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
			lines.push([seconds, event, ...text].join(' '));
		},
		write() {
			writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
};

/** Exit codes of the modules; run.sh translates them, so that a fault of the script itself is never taken for a broken rule. */
export const EXIT = {held: 0, broken: 10, failed: 2};

const children = new Set();
// Nothing that was started here outlives this process.
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		process.exit(EXIT.failed);
	});
}

/** Starts instances; resolves when all of them serve. */
export const startInstances = async ({names, storeAddress, record}) => {
	const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	const [command, ...args] = readCommand();
	const instances = names.map((name) => {
		const settings = path.join(directory, `${name}.toml`);
		writeFileSync(settings, settingsText(name, storeAddress));
		const child = spawn(command, args, {
			env: {PATH: process.env.PATH, HOME: directory, BERGAMOTGAUGE_SETTINGS: settings},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		children.add(child);
		const instance = {name, child, front: undefined, ready: undefined, hasEnded: false, log: ''};
		const read = (text) => {
			instance.log += text;
			const [, callers] = / event=started .*?callers=(?<callers>\S+)/v.exec(text) ?? [];
			const [, readiness] = / event=started .*?readiness=(?<readiness>\S+)/v.exec(text) ?? [];
			instance.front ??= callers;
			instance.ready ??= readiness;
		};

		child.stdout.setEncoding('utf8').on('data', read);
		child.stderr.setEncoding('utf8').on('data', read);
		child.once('exit', (code, signal) => {
			instance.hasEnded = true;
			children.delete(child);
			record.add('process-ended', {name, code, signal});
		});
		return instance;
	});
	const untilMs = performance.now() + START_TIMEOUT_MS;
	while (instances.some(({front}) => front === undefined) && performance.now() < untilMs) {
		await sleep(50);
	}

	return {
		instances,
		isServing: () => instances.every(({front, hasEnded}) => front !== undefined && !hasEnded),
		async close() {
			for (const {child, hasEnded} of instances) {
				if (!hasEnded) {
					child.kill('SIGKILL');
				}
			}

			while (instances.some(({hasEnded}) => !hasEnded)) {
				await sleep(20);
			}

			rmSync(directory, {recursive: true, force: true});
		},
	};
};

/** Sends one request; resolves to its status and body, or to status 0 when no answer comes in time. */
export const call = async ({address, method, path, host, key, body, deadlineMs = 3000}) =>
	new Promise((resolve) => {
		const text = body === undefined ? '' : JSON.stringify(body);
		const [hostname, port] = address.split(':');
		const outgoing = httpRequest(
			{
				hostname,
				port,
				method,
				path,
				timeout: deadlineMs,
				headers: {
					host,
					'content-type': 'application/json',
					'content-length': text.length,
					'x-bergamotgauge-deadline-ms': deadlineMs,
					...(key && {authorization: `Bearer ${key}`}),
				},
			},
			(response) => {
				let received = '';
				response.setEncoding('utf8');
				response.on('data', (chunk) => {
					received += chunk;
				});
				response.once('end', () => {
					resolve({status: response.statusCode, body: received === '' ? {} : JSON.parse(received)});
				});
			},
		);
		outgoing.once('timeout', () => {
			outgoing.destroy();
		});
		outgoing.once('error', () => {
			resolve({status: 0, body: {}});
		});
		outgoing.end(text);
	});
