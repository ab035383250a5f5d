import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readAll} from 'node:stream/consumers';
import {ServiceError} from '@bergamotgauge/model';
import type {Status} from '@bergamotgauge/operator';
import {Command} from 'commander';
import {connect, pollUntil} from './connect.js';
import {EXIT_CODES} from './constants.js';
import {connectionOptions, waitOptions, withOptions} from './options.js';
import {printError, printJson, printLine, printTable} from './output.js';
import type {ConnectionOptions, WaitOptions} from './types.js';

const withConnection = (command: Command): Command => withOptions(command, connectionOptions());

/** `status`: shows instances, racks and the configuration in force. */
export const statusCommand = (): Command =>
	withConnection(new Command('status').description('Show instances, racks and the configuration in force'))
		.addHelpText('after', '\nExample:\n  bergamotgauge status --json')
		.action(async (options: ConnectionOptions) => {
			const status = await connect(options).status();
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

/** `jobs`: lists the jobs of the caller's customer. */
export const jobsCommand = (): Command =>
	withConnection(new Command('jobs').description("List the jobs of the token's customer"))
		.addHelpText('after', '\nExample:\n  BERGAMOTGAUGE_TOKEN=$CALLER_TOKEN bergamotgauge jobs --json')
		.action(async (options: ConnectionOptions) => {
			const {jobs} = (await connect(options).call('GET', '/v1/jobs')) as Readonly<{jobs: readonly JobRow[]}>;
			if (options.json) {
				printJson(jobs);
				return;
			}

			printTable(
				['job', 'state', 'attempt', 'outcome', 'reason'],
				jobs.map((job) => [job.id, job.state, job.attempt, job.outcome?.kind ?? '', job.reason ?? '']),
			);
		});

const usageError = (message: string): ServiceError =>
	new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});

const readInput = async (file: string): Promise<string> => {
	try {
		return await (file === '-' ? readAll(process.stdin) : readFile(file, 'utf8'));
	} catch (error) {
		throw usageError(`cannot read ${file}: ${error instanceof Error ? error.message : String(error)}`);
	}
};

const parseJson = (text: string, file: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw usageError(`${file} is not JSON: ${error instanceof Error ? error.message : String(error)}`);
	}
};

/** `submit`: submits a job from a JSON file. */
export const submitCommand = (): Command =>
	withConnection(
		new Command('submit').description('Submit a job').argument('<file>', 'JSON file of the job, or - for stdin'),
	)
		.addHelpText('after', '\nExample:\n  BERGAMOTGAUGE_TOKEN=$CALLER_TOKEN bergamotgauge submit job.json')
		.action(async (file: string, options: ConnectionOptions) => {
			const body = parseJson(await readInput(file), file);
			const {id} = (await connect(options).call('POST', '/v1/jobs', body)) as Readonly<{id: string}>;
			if (options.json) {
				printJson({id});
			} else {
				printLine(id);
			}
		});

/** `cancel`: cancels a job of the caller's customer. */
export const cancelCommand = (): Command =>
	withConnection(new Command('cancel').description('Cancel a job').argument('<job>', 'job id'))
		.addHelpText('after', '\nExample:\n  BERGAMOTGAUGE_TOKEN=$CALLER_TOKEN bergamotgauge cancel 0198c0de-…')
		.action(async (job: string, options: ConnectionOptions) => {
			const view = (await connect(options).call('DELETE', `/v1/jobs/${encodeURIComponent(job)}`)) as JobRow;
			if (options.json) {
				printJson(view);
			} else {
				printLine(`cancellation of ${job} accepted; the job is ${view.state}`);
			}
		});

/** Whether a drained instance has stopped, or why that cannot be read. */
type DrainState = Readonly<{isStopped: boolean}> | Readonly<{error: ServiceError}>;

const waitUntilStopped = async (
	options: ConnectionOptions & WaitOptions,
	id: string,
	initialStatus: Status,
): Promise<DrainState> => {
	const client = connect(options);
	const readState = async (): Promise<DrainState> => {
		try {
			const {instances} = await client.status();
			return {isStopped: !instances.some((instance) => instance.id === id && instance.health !== 'dead')};
		} catch (error) {
			if (!(error instanceof ServiceError)) {
				throw error;
			}

			// The polled instance may be the one that drains, which then stops listening.
			return initialStatus.answeredBy === id && error.code === 'peer-unavailable' ? {isStopped: true} : {error};
		}
	};

	return pollUntil(options.waitSeconds, readState, (state) => 'isStopped' in state && state.isStopped);
};

/** Reports a drain that is accepted but not known to have ended. The command must not fail as if the drain had been refused. */
const printUnfinishedDrain = (instance: string, state: DrainState, {waitSeconds}: WaitOptions): void => {
	process.exitCode = EXIT_CODES.notInForce;
	printError(
		'error' in state
			? `${instance} is draining, but its state cannot be read: ${state.error.message}`
			: `${instance} has not stopped within ${waitSeconds} s`,
	);
};

/** `drain`: stops an instance gracefully. */
export const drainCommand = (): Command =>
	withOptions(
		new Command('drain').description('Stop an instance gracefully').argument('<instance>', 'id of the instance'),
		[...waitOptions('wait until the instance has stopped'), ...connectionOptions()],
	)
		.addHelpText('after', '\nExample:\n  bergamotgauge drain q3 --wait --wait-seconds 60')
		.action(async (instance: string, options: ConnectionOptions & WaitOptions) => {
			const client = connect(options);
			const initialStatus = await client.status();
			await client.call('POST', `/v1/operator/instances/${encodeURIComponent(instance)}/drain`, {});
			const state = options.wait ? await waitUntilStopped(options, instance, initialStatus) : undefined;
			const isStopped = state && 'isStopped' in state ? state.isStopped : undefined;
			if (options.json) {
				printJson({instance, ...(isStopped !== undefined && {stopped: isStopped})});
			} else {
				printLine(isStopped ? `${instance} has stopped` : `${instance} is draining`);
			}

			if (state && !isStopped) {
				printUnfinishedDrain(instance, state, options);
			}
		});
