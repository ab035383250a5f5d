import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {Command} from 'commander';
import {measureGroup, measureThroughput} from './scenarios.js';
import type {Figure} from './types.js';

const print = (figures: readonly Figure[]): void => {
	for (const {name, goal, figure, isMet} of figures) {
		const mark = goal === '–' ? '' : isMet ? 'met' : 'NOT MET';
		process.stdout.write(`${name.padEnd(72)} goal ${goal.padEnd(12)} ${figure.padEnd(14)} ${mark}\n`);
	}
};

const program = new Command('bench:edge')
	.description('Measures the request path against the goals of the design page')
	.option('--quick', 'finish within a minute', false)
	.option('--json <file>', 'also write the figures as JSON');
program.parse();
const {quick, json} = program.opts<{quick: boolean; json?: string}>();
const startedMs = performance.now();
const figures: Figure[] = [];
for (const measure of [measureThroughput, measureGroup]) {
	const measured = await measure({quick});
	print(measured);
	figures.push(...measured);
}

const seconds = (performance.now() - startedMs) / 1000;
process.stdout.write(`${figures.filter(({isMet}) => !isMet).length} goals not met, ${seconds.toFixed(0)} s\n`);
if (json !== undefined) {
	await writeFile(json, `${JSON.stringify({quick, seconds, figures}, undefined, '\t')}\n`);
}

process.exit(0);
