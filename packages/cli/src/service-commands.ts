import {readFile} from 'node:fs/promises';
import {ServiceError} from '@bergamotgauge/model';
import {createOperatorClient} from '@bergamotgauge/operator';
import {Command} from 'commander';
import {connectionOptions} from './options.js';
import {printJson, printLine, printTable} from './output.js';
import type {ConnectionOptions} from './types.js';

const withConnection = (command: Command): Command => {
	for (const option of connectionOptions()) {
		command.addOption(option);
	}

	return command;
};

/** `status`: instances, racks and the configuration in force. */
export const statusCommand = (): Command =>
	withConnection(new Command('status').description('Show instances, racks and the configuration in force'))
		.addHelpText('after', '\nExample:\n  bergamotgauge status --json')
		.action(async (options: ConnectionOptions) => {
			const status = await createOperatorClient(options).status();
			if (options.json) {
				printJson(status);
				return;
			}

			printLine(`generation ${status.generation}, ${status.queuedJobs} queued jobs`);
			printTable(
				['instance', 'availability zone', 'state', 'health', 'generation', 'revision'],
				status.instances.map((item) => [
					item.id,
					item.availabilityZone,
					item.state,
					item.health,
					item.generation,
					item.revision,
				]),
			);
			printTable(
				['rack', 'accelerators', 'used', 'placements'],
				status.racks.map((item) => [item.rack, item.accelerators, item.used, item.placements]),
			);
		});

type JobRow = Readonly<{id: string; state: string; attempt: number; reason?: string; outcome?: {kind: string}}>;

/** `jobs`: the caller's jobs. */
export const jobsCommand = (): Command =>
	withConnection(new Command('jobs').description("List the jobs of the token's customer"))
		.addHelpText('after', '\nExample:\n  bergamotgauge jobs --token "$TOKEN"')
		.action(async (options: ConnectionOptions) => {
			const {jobs} = (await createOperatorClient(options).call('GET', '/v1/jobs')) as Readonly<{
				jobs: readonly JobRow[];
			}>;
			if (options.json) {
				printJson(jobs);
				return;
			}

			printTable(
				['job', 'state', 'attempt', 'outcome', 'reason'],
				jobs.map((job) => [job.id, job.state, job.attempt, job.outcome?.kind ?? '', job.reason ?? '']),
			);
		});

const parseJson = (text: string, file: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new ServiceError(`${file} is not JSON: ${String(error)}`, {code: 'bad-request', verdict: 'not-run'});
	}
};

/** `submit`: submits a job from a JSON file. */
export const submitCommand = (): Command =>
	withConnection(new Command('submit').description('Submit a job').argument('<file>', 'JSON file of the job'))
		.addHelpText('after', '\nExample:\n  bergamotgauge submit job.json --token "$TOKEN"')
		.action(async (file: string, options: ConnectionOptions) => {
			const body = parseJson(await readFile(file, 'utf8'), file);
			const {id} = (await createOperatorClient(options).call('POST', '/v1/jobs', body)) as Readonly<{id: string}>;
			printLine(id);
		});

/** `explain`: why a job waits or where it runs. */
export const explainCommand = (): Command =>
	withConnection(
		new Command('explain')
			.description('Say why a job waits, where it runs, and what would have to give way')
			.argument('<job>', 'job id'),
	)
		.addHelpText('after', '\nExample:\n  bergamotgauge explain 0198c0de-…')
		.action(async (job: string, options: ConnectionOptions) => {
			printJson(
				await createOperatorClient(options).call('GET', `/v1/operator/jobs/${encodeURIComponent(job)}/explanation`),
			);
		});

/** `drain`: stops an instance gracefully. */
export const drainCommand = (): Command =>
	withConnection(
		new Command('drain').description('Stop an instance gracefully').argument('<instance>', 'id of the instance'),
	)
		.addHelpText('after', '\nExample:\n  bergamotgauge drain q3')
		.action(async (instance: string, options: ConnectionOptions) => {
			await createOperatorClient(options).call(
				'POST',
				`/v1/operator/instances/${encodeURIComponent(instance)}/drain`,
				{},
			);
			printLine(`${instance} drains`);
		});
