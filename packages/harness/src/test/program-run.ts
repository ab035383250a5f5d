import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {programPath} from '../processes.js';

/** Exit code of a command, and its standard output followed by its standard error. */
export type ProgramResult = Readonly<{code: number | undefined; output: string}>;

/** Runs commands of the CLI against one instance. */
export type Program = Readonly<{
	run: (args: readonly string[], variables?: Readonly<Record<string, string>>) => Promise<ProgramResult>;
	/** Writes a file to the temporary directory and returns its path. */
	write: (file: string, content: string) => Promise<string>;
}>;

/**
Creates a temporary directory for input files and a runner for CLI commands. The lifecycle removes the directory.

@example
```ts
const {run} = await createProgramRun(lifecycle, service.url);
const {code} = await run(['status'], {BERGAMOTGAUGE_TOKEN: token});
```
*/
export const createProgramRun = async (lifecycle: Lifecycle, url: string): Promise<Program> => {
	const directory = await mkdtemp(path.join(tmpdir(), 'bergamotgauge-'));
	lifecycle.add('files', async () => rm(directory, {recursive: true}));
	return {
		async run(args, variables = {}) {
			const child = spawn(process.execPath, [programPath('@bergamotgauge/cli'), ...args], {
				env: {...process.env, BERGAMOTGAUGE_URL: url, ...variables},
				stdio: ['ignore', 'pipe', 'pipe'],
			});
			const exited = new Promise<number | undefined>((resolve) => {
				child.once('close', (code) => {
					resolve(code ?? undefined);
				});
			});
			const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr)]);
			return {code: await exited, output: output + errors};
		},
		async write(file, content) {
			const target = path.join(directory, file);
			await writeFile(target, content);
			return target;
		},
	};
};
