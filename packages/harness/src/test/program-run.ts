import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {programOf} from '../processes.js';

/** Exit code and output of a command; the output has both streams. */
export type ProgramResult = Readonly<{code: number | undefined; output: string}>;

/** Runs commands of the program against one instance. */
export type Program = Readonly<{
	run: (args: readonly string[], variables?: Readonly<Record<string, string>>) => Promise<ProgramResult>;
	/** Writes a file for a command and gives its path. */
	write: (file: string, content: string) => Promise<string>;
}>;

/**
Prepares a directory for files and the environment of the program.

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
			const child = spawn(process.execPath, [programOf('@bergamotgauge/cli'), ...args], {
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
