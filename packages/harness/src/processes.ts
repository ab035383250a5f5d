import {type Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {withDeadline, type Lifecycle} from '@bergamotgauge/lifecycle';
import {START_DEADLINE_MS} from './constants.js';
import type {StartedInstance, StartedProcess} from './types.js';

const require = createRequire(import.meta.url);

/** Path of a package's program. */
export /** Path of a package's program. */
const programOf = (packageName: string): string => path.join(path.dirname(require.resolve(packageName)), 'main.js');

const READY = /^ready (?<json>.*)$/v;
const STARTED = /event=instance-started.*address=(?<address>\S+) peerAddress=(?<peerAddress>\S+)/v;

type Started<Result> = Readonly<{process: StartedProcess; result: Result}>;

const ENDING_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

const killers = new Set<() => void>();

/** Ends a child when this process exits without closing its life cycle, as after a failed test or a signal. */
const endWithParent = (kill: () => void): void => {
	if (killers.size === 0) {
		process.once('exit', () => {
			for (const killChild of killers) {
				killChild();
			}
		});
		for (const signal of ENDING_SIGNALS) {
			process.once(signal, () => {
				process.exit(1);
			});
		}
	}

	killers.add(kill);
};

const start = async <Result>(
	lifecycle: Lifecycle,
	name: string,
	program: string,
	args: readonly string[],
	match: (line: string) => Result | undefined,
): Promise<Started<Result>> => {
	const child = spawn(process.execPath, [program, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	const output: string[] = [];
	const kill = () => {
		child.kill('SIGKILL');
	};

	lifecycle.add(name, kill);
	endWithParent(kill);
	child.stderr.on('data', (chunk: Buffer) => {
		output.push(chunk.toString());
	});
	const result = await withDeadline(
		START_DEADLINE_MS,
		async () =>
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
			}),
	);
	return {process: {name, child}, result};
};

/** Starts a stand-in process; gives what it announces. */
export const startStandIn = async (
	lifecycle: Lifecycle,
	args: readonly string[],
): Promise<Readonly<Record<string, string>>> => {
	const {result} = await start(lifecycle, `standin-${args[0]}`, programOf('@bergamotgauge/standins'), args, (line) => {
		const json = READY.exec(line)?.groups?.json;
		return json === undefined ? undefined : (JSON.parse(json) as Readonly<Record<string, string>>);
	});
	return result;
};

/** Starts an instance process. */
export const startInstanceProcess = async (
	lifecycle: Lifecycle,
	id: string,
	args: readonly string[],
): Promise<StartedInstance> => {
	const started = await start(
		lifecycle,
		id,
		programOf('@bergamotgauge/cli'),
		['serve', '--id', id, ...args],
		(line) => STARTED.exec(line)?.groups,
	);
	return {
		process: started.process,
		address: started.result.address!,
		peerAddress: started.result.peerAddress!,
	};
};
