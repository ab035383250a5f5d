import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {goalsOf} from './goals.js';
import {timePasses} from './pass-timing.js';
import {POLICIES} from './policies/index.js';
import {runReplays, type ReplayTask} from './replay-pool.js';
import {goalTable, replayTable, slope, timingTable} from './report.js';
import {TRACES} from './traces/index.js';

const parseCount = (text: string): number => {
	const count = Number(text);
	if (!Number.isInteger(count) || count < 1) {
		throw new InvalidArgumentError('a whole number above 0 is needed');
	}

	return count;
};

type Options = Readonly<{quick?: boolean; json?: string; seeds?: number}>;

const command = new Command('bench:placement')
	.description('Replays job traces in virtual time and compares placement policies with the goals')
	.option('--quick', 'short traces and two seeds; ends within a minute')
	.option('--json <file>', 'write all results to a file')
	.option('--seeds <count>', 'number of seeds (10, or 2 with --quick)', parseCount)
	.parse(process.argv);

const {quick = false, json, seeds = quick ? 2 : 10} = command.opts<Options>();
const hours = quick ? 4 : 24;
const tasks: ReplayTask[] = TRACES.flatMap(({name, excludedPolicies = []}) =>
	POLICIES.filter((policy) => !excludedPolicies.includes(policy.name)).flatMap((policy) =>
		Array.from({length: seeds}, (_, index) => ({trace: name, policy: policy.name, seed: index + 1, hours})),
	),
);
// Measure timings first, while no replay competes for the CPU.
const timings = [0.25, 0.5, 1].map((scale) => timePasses(scale, quick ? 40 : 200));
const position = new Map(tasks.map((task, index) => [`${task.trace}/${task.policy}/${task.seed}`, index]));
const unordered = await runReplays(tasks);
const positionOf = ({trace, policy, seed}: {trace: string; policy: string; seed: number}) =>
	position.get(`${trace}/${policy}/${seed}`)!;
const results = unordered.toSorted((a, b) => positionOf(a) - positionOf(b));
const goals = goalsOf(results, timings);

console.log(`${seeds} seeds, ${hours} h of submissions; cells are median / worst over the seeds\n`);
console.log(`${replayTable(results)}\n`);
console.log(`${timingTable(timings)}\n`);
console.log(
	`growth exponent of the median: full pass ${slope(timings, ({passP50Ms}) => passP50Ms).toFixed(2)}, arrival ${slope(timings, ({arrivalP50Ms}) => arrivalP50Ms).toFixed(2)}\n`,
);
console.log(goalTable(goals));
if (json !== undefined) {
	await writeFile(json, `${JSON.stringify({seeds, hours, results, timings, goals}, undefined, '\t')}\n`);
}
