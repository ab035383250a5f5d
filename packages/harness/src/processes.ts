import {type Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {createRequire} from 'node:module';
import {loadavg} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {DeadlineError, withDeadline, type Lifecycle} from '@bergamotgauge/lifecycle';
import {START_DEADLINE_MS} from './constants.js';
import {readCpuSeconds} from './process-usage.js';
import type {StartedInstance, StartedProcess} from './types.js';

const require = createRequire(import.meta.url);

/** Path of a package's compiled entry point. */
export const programPath = (packageName: string): string =>
	path.join(path.dirname(require.resolve(packageName)), 'main.js');

const READY = /^ready (?<json>.*)$/v;
const STARTED = /event=instance-started.*address=(?<address>\S+) peerAddress=(?<peerAddress>\S+)/v;

/** Options of `env`. The test runner preloads modules into child processes, which doubles the CPU time of their start; no test uses what these modules record. */
const WITHOUT_PRELOAD = ['--unset=NODE_OPTIONS'] as const;

type MatchedProcess<Result> = Readonly<{process: StartedProcess; result: Result}>;

const TERMINATION_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

const killFunctions = new Set<() => void>();

/** Kills a child when this process exits without closing its lifecycle, for example after a failed test or a signal. */
const killOnExit = (kill: () => void): void => {
	if (killFunctions.size === 0) {
		process.once('exit', () => {
			for (const killChild of killFunctions) {
				killChild();
			}
		});
		for (const signal of TERMINATION_SIGNALS) {
			process.once(signal, () => {
				process.exit(1);
			});
		}
	}

	killFunctions.add(kill);
};

/** Describes a program that is not ready in time; its CPU time and output tell a program that waits from one that got no processor time. */
const createLateStartError = (name: string, child: ChildProcess, output: readonly string[], cause: Error): Error => {
	const cpuSeconds = child.pid === undefined ? 0 : readCpuSeconds(child.pid);
	const usage = `${cpuSeconds.toFixed(2)} s of CPU time, load average ${loadavg()[0]!.toFixed(1)}`;
	return new Error(`${name} is not ready after ${START_DEADLINE_MS} ms (${usage}):\n${output.join('\n')}`, {cause});
};

const startProcess = async <Result>(
	lifecycle: Lifecycle,
	name: string,
	program: string,
	args: readonly string[],
	match: (line: string) => Result | undefined,
): Promise<MatchedProcess<Result>> => {
	const child = spawn('env', [...WITHOUT_PRELOAD, process.execPath, program, ...args], {
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const output: string[] = [];
	const kill = () => {
		child.kill('SIGKILL');
	};

	lifecycle.add(name, kill);
	killOnExit(kill);
	child.stderr.on('data', (chunk: Buffer) => {
		output.push(chunk.toString());
	});
	const ready = async () =>
		new Promise<Result>((resolve, reject) => {
			createInterface(child.stdout).on('line', (line) => {
				output.push(line);
				const matched = match(line);
				if (matched !== undefined) {
					resolve(matched);
				}
			});
			child.once('exit', (code) => {
				reject(new Error(`${name} exited with ${code}:\n${output.join('\n')}`));
			});
		});

	try {
		return {process: {name, child}, result: await withDeadline(START_DEADLINE_MS, ready)};
	} catch (error) {
		throw error instanceof DeadlineError ? createLateStartError(name, child, output, error) : error;
	}
};

/** Starts a stand-in process and returns the addresses that it announces on its `ready` line. */
export const startStandIn = async (
	lifecycle: Lifecycle,
	args: readonly string[],
): Promise<Readonly<Record<string, string>>> => {
	const {result} = await startProcess(
		lifecycle,
		`standin-${args[0]}`,
		programPath('@bergamotgauge/standins'),
		args,
		(line) => {
			const json = READY.exec(line)?.groups?.json;
			return json === undefined ? undefined : (JSON.parse(json) as Readonly<Record<string, string>>);
		},
	);
	return result;
};

/** Starts an instance process and returns the addresses from its `instance-started` log event. */
export const startInstanceProcess = async (
	lifecycle: Lifecycle,
	id: string,
	args: readonly string[],
): Promise<StartedInstance> => {
	const started = await startProcess(
		lifecycle,
		id,
		programPath('@bergamotgauge/cli'),
		['serve', '--id', id, ...args],
		(line) => STARTED.exec(line)?.groups,
	);
	return {
		process: started.process,
		address: started.result.address!,
		peerAddress: started.result.peerAddress!,
	};
};
