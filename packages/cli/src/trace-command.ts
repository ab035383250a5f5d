import {createReadStream} from 'node:fs';
import {basename} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {ServiceError} from '@bergamotgauge/model';
import {parseLine, type LogLine} from '@bergamotgauge/telemetry';
import {Command} from 'commander';
import {printJson, printLine} from './output.js';
import {traceOf, type Trace} from './trace.js';

type SourcedLine = Readonly<{source: string; line: LogLine}>;

const readLines = async (source: string, input: Readable): Promise<readonly SourcedLine[]> => {
	const lines: SourcedLine[] = [];
	for await (const text of createInterface({input, crlfDelay: Number.POSITIVE_INFINITY})) {
		const line = parseLine(text);
		if (line) {
			lines.push({source, line});
		}
	}

	return lines;
};

const readFiles = async (files: readonly string[]): Promise<readonly SourcedLine[]> => {
	if (files.length === 0) {
		return readLines('stdin', process.stdin);
	}

	const all: SourcedLine[] = [];
	for (const file of files) {
		const lines = await readLines(basename(file, '.log'), createReadStream(file));
		for (const line of lines) {
			all.push(line);
		}
	}

	return all;
};

const printTrace = ({lines, clockNotes}: Trace) => {
	const startMs = lines[0]!.line.timeMs;
	const width = Math.max(...lines.map(({instance}) => instance.length));
	for (const {instance, line} of lines) {
		const elapsed = `+${line.timeMs - startMs} ms`.padStart(12);
		const fields = Object.entries(line.fields).map(
			([key, value]) => `${key}=${/\s/v.test(value) ? JSON.stringify(value) : value}`,
		);
		printLine(`${elapsed}  ${instance.padEnd(width)}  ${[line.event, ...fields].join(' ')}`);
	}

	for (const note of clockNotes) {
		printLine(`Note: ${note}.`);
	}
};

/** `trace`: prints the log lines of several instances that mention one id. */
export const traceCommand = (): Command =>
	new Command('trace')
		.description('Print the log lines of instances about one job or request, in order of time')
		.argument('<id>', 'id of a job')
		.argument('[files...]', 'log files, one for each instance; standard input when none is given')
		.option('--json', 'print JSON')
		.addHelpText(
			'after',
			'\nExamples:\n  bergamotgauge trace 5c0e7a21d94b36f8 instance-*.log\n  cat all.log | bergamotgauge trace 5c0e7a21d94b36f8',
		)
		.action(async (id: string, files: readonly string[], options: Readonly<{json?: boolean}>) => {
			const trace = traceOf(id, await readFiles(files));
			if (trace.lines.length === 0) {
				throw new ServiceError(`no log line mentions ${id}`, {code: 'not-found', verdict: 'not-run'});
			}

			if (options.json) {
				printJson(trace);
			} else {
				printTrace(trace);
			}
		});
