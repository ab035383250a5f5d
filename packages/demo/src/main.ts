import {strict as assert} from 'node:assert';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {
	newToken,
	sha256,
	startListedInstance,
	startPlatform,
	pollUntil,
	type Platform,
	type StartedInstance,
} from '@bergamotgauge/harness';
import {createLifecycle, type Lifecycle} from '@bergamotgauge/lifecycle';
import type {Declarations, JobOutcome} from '@bergamotgauge/model';
import {createOperatorClient, loadDirectory, type OperatorClient} from '@bergamotgauge/operator';
import {request} from 'undici';
import {ENDPOINT_COUNT, GANG_RUN_MS, LIST_LAG_MS} from './constants.js';

const EXAMPLE = fileURLToPath(new URL('../../../examples/quebec', import.meta.url));
const ZONES = ['a', 'b', 'c'] as const;

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const startPlatformAndInstances = async (lifecycle: Lifecycle, declarations: Declarations, operatorToken: string) => {
	const platform = await startPlatform(lifecycle, {
		racks: declarations.racks,
		endpointCount: ENDPOINT_COUNT,
		service: 'listings',
		availabilityZones: ZONES,
		listLagMs: LIST_LAG_MS,
	});
	print(
		`platform: store, instance list, ${Object.keys(platform.workers).length} workers, ${Object.keys(platform.endpoints).length} endpoints`,
	);
	const instances = await Promise.all(
		ZONES.map(async (availabilityZone, index) =>
			startListedInstance(lifecycle, {id: `q${index + 1}`, availabilityZone, platform, operatorToken}),
		),
	);
	print(`instances: ${instances.map(({process: {name}, address}) => `${name} at ${address}`).join(', ')}`);
	return {platform, instances};
};

const sendRequest = async (address: string, token: string): Promise<void> => {
	const response = await request(`http://${address}/v1/services/listings/match?role=lead`, {
		method: 'POST',
		headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
		body: JSON.stringify({listing: 'reel-1'}),
	});
	const text = await response.body.text();
	assert.equal(response.statusCode, 200, text);
	const echoed = JSON.parse(text) as Readonly<{endpoint: string; path: string; echo: string}>;
	assert.equal(echoed.path, '/match?role=lead');
	assert.equal(echoed.echo, '{"listing":"reel-1"}');
	print(`request: answered by ${echoed.endpoint}, verdict ${String(response.headers['request-verdict'])}`);
};

const jobBody = (accelerators: number, runMs: number): unknown => ({
	jobClass: 'render',
	labels: {work: 'reel'},
	accelerators,
	declaredSeconds: 10,
	payload: {runMs, answer: {frames: 24}},
});

const submit = async (client: OperatorClient, body: unknown): Promise<string> => {
	const {id} = (await client.call('POST', '/v1/jobs', body)) as Readonly<{id: string}>;
	return id;
};

type JobReply = Readonly<{state: string; attempt: number; outcome?: JobOutcome}>;

const waitForState = async (client: OperatorClient, id: string, state: string): Promise<JobReply> =>
	pollUntil(`job ${state}`, async () => {
		const job = (await client.call('GET', `/v1/jobs/${id}`)) as JobReply;
		return job.state === state ? job : undefined;
	});

const countStarts = async (platform: Platform, job: string): Promise<number> => {
	const counts = await Promise.all(
		Object.values(platform.workers).map(async (address) => {
			const response = await request(`http://${address}/starts`);
			const starts = (await response.body.json()) as Readonly<Record<string, number>>;
			return starts[job] ?? 0;
		}),
	);
	return counts.reduce((sum, count) => sum + count, 0);
};

const loadExample = async (operatorToken: string, callerToken: string): Promise<Declarations> => {
	const result = await loadDirectory(EXAMPLE);
	assert.ok(result.ok, JSON.stringify(result));
	const customer = result.declarations.customers[0]!;
	return {
		...result.declarations,
		tokens: [
			{name: 'demo-operator', sha256: sha256(operatorToken), role: 'operator', partner: customer.partner},
			{
				name: 'demo-caller',
				sha256: sha256(callerToken),
				role: 'caller',
				partner: customer.partner,
				customer: customer.name,
			},
		],
	};
};

const runJobs = async (
	platform: Platform,
	instances: readonly StartedInstance[],
	callerToken: string,
): Promise<void> => {
	const clientOf = (index: number) =>
		createOperatorClient({url: `http://${instances[index]!.address}`, token: callerToken});
	const gang = await submit(clientOf(0), jobBody(16, 200));
	const {outcome} = await waitForState(clientOf(1), gang, 'ended');
	assert.equal(outcome?.kind, 'succeeded');
	assert.equal(await countStarts(platform, gang), 2, 'two workers of eight accelerators run the gang');
	print(`gang of 16: ${outcome.kind}, verdict ${outcome.verdict}, answer ${JSON.stringify(outcome.answer)}`);

	await assert.rejects(submit(clientOf(2), jobBody(65, 100)), (error: Error) => {
		print(`impossible job: refused: ${error.message}`);
		return 'verdict' in error && error.verdict === 'not-run';
	});

	const longJob = await submit(clientOf(1), jobBody(16, GANG_RUN_MS));
	await pollUntil('start of the job', async () => ((await countStarts(platform, longJob)) === 2 ? true : undefined));
	const killedInstance = instances[0]!;
	killedInstance.process.child.kill('SIGKILL');
	print(`killed ${killedInstance.process.name} (SIGKILL) while the job runs`);
	const ended = await waitForState(clientOf(1), longJob, 'ended');
	const starts = await countStarts(platform, longJob);
	assert.equal(ended.outcome?.kind, 'succeeded');
	assert.equal(starts, 2, 'each of the two tasks started once');
	print(
		`job after the kill: ${ended.outcome.kind} once (attempt ${ended.attempt}, ${starts} task starts on 2 workers)`,
	);
};

const runDemo = async (lifecycle: Lifecycle): Promise<void> => {
	const operatorToken = newToken();
	const callerToken = newToken();
	const declarations = await loadExample(operatorToken, callerToken);
	const {platform, instances} = await startPlatformAndInstances(lifecycle, declarations, operatorToken);
	const operator = createOperatorClient({url: `http://${instances[0]!.address}`, token: operatorToken});
	await pollUntil('three live members', async () => {
		const response = await request(`http://${instances[0]!.address}/readyz`);
		await response.body.dump();
		return response.statusCode === 200 ? true : undefined;
	});
	const generation = await operator.apply(0, declarations);
	await pollUntil('the configuration in force', async () => {
		const {instances: statuses} = await operator.status();
		const isInForce = statuses.length === 3 && statuses.every((status) => status.generation === generation);
		return isInForce ? true : undefined;
	});
	print(`examples/quebec: generation ${generation} is in force on 3 instances`);
	await sendRequest(instances[2]!.address, callerToken);
	await runJobs(platform, instances, callerToken);
};

const startedMs = Date.now();
const lifecycle = createLifecycle('demo');
try {
	await runDemo(lifecycle);
	print(`done in ${((Date.now() - startedMs) / 1000).toFixed(1)} s`);
} catch (error) {
	print(`failed: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`);
	process.exitCode = 1;
} finally {
	await lifecycle.close();
}
