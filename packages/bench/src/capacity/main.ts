import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {Command} from 'commander';
import {FULL_SCALE, QUICK_SCALE} from './constants.js';
import {EXPERIMENTS} from './experiments.js';
import {fitLine} from './fit.js';
import {updatePage} from './page.js';
import type {Series} from './types.js';

type Options = Readonly<{quick?: boolean; json?: string; page: string; only?: string; from?: string}>;

const printLine = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** Recomputes the fits of an earlier run, because JSON cannot represent NaN. */
const refit = (series: readonly Series[]): readonly Series[] =>
	series.map((item) => ({...item, fit: fitLine(item.points)}));

const program = new Command('bench:capacity')
	.description('Measure how resource usage grows with the service and rewrite the tables of docs/CAPACITY.md')
	.option('--quick', 'short windows; ends in about a minute and leaves the page as it is')
	.option('--json <file>', 'write all points and fits')
	.option('--only <name>', 'run one experiment and leave the page as it is')
	.option('--from <file>', 'rewrite the page from the JSON of an earlier run')
	.option('--page <file>', 'page whose tables are rewritten', 'docs/CAPACITY.md')
	.action(async ({quick, json, page, only, from}: Options) => {
		if (from !== undefined) {
			const earlier = JSON.parse(await readFile(from, 'utf8')) as Readonly<{series: readonly Series[]}>;
			await updatePage(page, refit(earlier.series));
			return;
		}

		const scale = quick ? QUICK_SCALE : FULL_SCALE;
		const series: Series[] = [];
		for (const experiment of EXPERIMENTS) {
			if (only === undefined || only === experiment.name) {
				series.push(...(await experiment.run(scale, printLine)));
			}
		}

		if (json !== undefined) {
			await writeFile(json, `${JSON.stringify({scale, series}, undefined, 2)}\n`);
		}

		if (!quick && only === undefined) {
			await updatePage(page, series);
			printLine(`rewrote the tables of ${page}`);
		}
	});

await program.parseAsync();
