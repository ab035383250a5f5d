import type {Block, JobOutcome, Placement} from '@bergamotgauge/model';
import {Command} from 'commander';
import {connect} from './connect.js';
import {connectionOptions, withOptions} from './options.js';
import {printJson, printLine} from './output.js';
import type {ConnectionOptions} from './types.js';

type Obstacle = Readonly<{
	job: string;
	customer: string;
	rack: string;
	accelerators: number;
	preemptible: boolean;
	expectedEndMs: number;
}>;

type Explanation = Readonly<{
	id: string;
	state: string;
	customer: string;
	jobClass: string;
	attempt: number;
	submittedAtMs: number;
	reason?: string;
	outcome?: JobOutcome;
	location?: Readonly<{rack: string; placement: Placement}>;
	/** Jobs whose end would free the accelerators that this job needs to start. */
	obstacles?: readonly Obstacle[];
}>;

const describeBlock = ({worker, first, count}: Block): string =>
	`${worker} accelerators ${first} to ${first + count - 1}`;

const formatTime = (ms: number): string => new Date(ms).toISOString();

const describeState = ({state, reason, outcome, location}: Explanation): readonly string[] => {
	if (outcome) {
		return [
			`It ended at ${formatTime(outcome.endedAtMs)}: ${outcome.kind}, verdict ${outcome.verdict}.`,
			`Reason: ${outcome.reason}`,
		];
	}

	if (location) {
		const {rack, placement} = location;
		return [
			`It is ${state} in rack ${rack} since ${formatTime(placement.placedAtMs)}${placement.phase === 'evicting' ? ' and is being evicted' : ''}.`,
			...placement.blocks.map((block) => `  ${describeBlock(block)}`),
			...(placement.guarantee === undefined ? [] : [`It uses guarantee ${placement.guarantee}.`]),
			placement.preemptible
				? 'It can be preempted by a guarantee that needs its accelerators.'
				: 'It cannot be preempted.',
			`Expected end: ${formatTime(placement.expectedEndMs)}`,
		];
	}

	return [`It is ${state}.`, `Reason: ${reason ?? 'this instance has not considered it in a placement pass yet'}`];
};

const DESCRIBED_FIELDS = new Set([
	'id',
	'state',
	'customer',
	'jobClass',
	'attempt',
	'submittedAtMs',
	'reason',
	'outcome',
	'location',
	'obstacles',
]);

const describeObstacles = (obstacles: readonly Obstacle[] = []): readonly string[] =>
	obstacles.length === 0
		? []
		: [
				'To start now, it would need the accelerators of:',
				...obstacles.map(
					({job, customer, rack, accelerators, preemptible, expectedEndMs}) =>
						`  job ${job} of ${customer}, ${accelerators} accelerators in rack ${rack}, ${preemptible ? 'preemptible' : 'not preemptible'}, expected end ${formatTime(expectedEndMs)}`,
				),
			];

/** Formats fields that this version does not know, which a newer instance may return. */
const describeOtherFields = (explanation: Explanation): readonly string[] =>
	Object.entries(explanation)
		.filter(([key]) => !DESCRIBED_FIELDS.has(key))
		.map(([key, value]) => `${key}: ${typeof value === 'string' ? value : JSON.stringify(value)}`);

/** Formats an explanation as lines of text. */
export const describeExplanation = (explanation: Explanation): readonly string[] => {
	const {id, customer, jobClass, attempt, submittedAtMs} = explanation;
	return [
		`Job ${id} of customer ${customer}, class ${jobClass}, attempt ${attempt}, submitted at ${formatTime(submittedAtMs)}.`,
		...describeState(explanation),
		...describeObstacles(explanation.obstacles),
		...describeOtherFields(explanation),
	];
};

/** `explain`: explains why a job waits, where it runs or how it ended. */
export const explainCommand = (): Command =>
	withOptions(
		new Command('explain')
			.description('Explain why a job waits, where it runs or how it ended')
			.argument('<job>', 'job id'),
		connectionOptions(),
	)
		.addHelpText('after', '\nExample:\n  bergamotgauge explain 0198c0de-…')
		.action(async (job: string, options: ConnectionOptions) => {
			const path = `/v1/operator/jobs/${encodeURIComponent(job)}/explanation`;
			const explanation = (await connect(options).call('GET', path)) as Explanation;
			if (options.json) {
				printJson(explanation);
				return;
			}

			for (const line of describeExplanation(explanation)) {
				printLine(line);
			}
		});
