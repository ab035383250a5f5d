import {fork, type ChildProcess} from 'node:child_process';
import {createHash, randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {sleep, withDeadline, type Lifecycle} from '@bergamotgauge/lifecycle';
import type {Bundle, Declarations} from '@bergamotgauge/model';
import {createOperatorClient} from '@bergamotgauge/operator';
import {request} from 'undici';
import {CONNECTIONS, SERVICE_NAME, SLOTS, START_DEADLINE_MS} from './constants.js';
import type {InstanceReady, PlatformCommand, PlatformReady, PlatformStats} from './types.js';

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

type StartedChild<Ready> = Readonly<{child: ChildProcess; ready: Ready}>;

const startChild = async <Ready>(
	lifecycle: Lifecycle,
	program: string,
	args: readonly string[],
): Promise<StartedChild<Ready>> => {
	const child = fork(fileURLToPath(new URL(`${program}.js`, import.meta.url)), args);
	lifecycle.add(program, () => {
		child.kill('SIGKILL');
	});
	const ready = await withDeadline(
		START_DEADLINE_MS,
		async () =>
			new Promise<Ready>((resolve, reject) => {
				child.once('message', (message) => {
					resolve((message as Readonly<{ready: Ready}>).ready);
				});
				child.once('exit', (code) => {
					reject(new Error(`${program} exited with ${code}`));
				});
			}),
	);
	return {child, ready};
};

export type Platform = PlatformReady & Readonly<{sendCommand: (command: PlatformCommand) => Promise<PlatformStats>}>;

/** Starts the store, the instance list and the endpoints in one process. */
export const startPlatform = async (lifecycle: Lifecycle, endpoints: number): Promise<Platform> => {
	const {child, ready} = await startChild<PlatformReady>(lifecycle, 'platform-process', [String(endpoints)]);
	let lastId = 0;
	return {
		...ready,
		async sendCommand(command) {
			lastId += 1;
			const id = lastId;
			return new Promise((resolve) => {
				const listener = (message: unknown) => {
					const reply = message as Readonly<{id: number; result: PlatformStats}>;
					if (reply.id === id) {
						child.off('message', listener);
						resolve(reply.result);
					}
				};

				child.on('message', listener);
				child.send({...command, id});
			});
		},
	};
};

export const startBaseline = async (lifecycle: Lifecycle, platform: Platform): Promise<string> => {
	const {ready} = await startChild<Readonly<{address: string}>>(
		lifecycle,
		'baseline-process',
		Object.values(platform.endpoints),
	);
	return ready.address;
};

export type Edge = Readonly<{
	instances: ReadonlyArray<StartedChild<InstanceReady>>;
	/** Bearer tokens by customer. */
	tokens: Readonly<Record<string, string>>;
}>;

const CUSTOMERS = ['steady', 'flood'] as const;

const declarationsFor = (tokens: Edge['tokens'], operatorToken: string): Declarations => {
	const quota = {accelerators: 0, queuedJobs: 0, concurrentRequests: 1000, queuedRequests: 1000};
	const jobClass = {
		urgency: 'normal',
		preemptible: false,
		checkpointSeconds: 0,
		defaultDeadlineSeconds: 10,
		maxAttempts: 1,
	} as const;
	return {
		customers: CUSTOMERS.map((name) => ({name, partner: 'bench', weight: 1, quota, labels: {}})),
		guarantees: [],
		jobClasses: [
			{...jobClass, name: 'match', retryRule: 'idempotent'},
			{...jobClass, name: 'notice', retryRule: 'at-most-once'},
		],
		pools: [],
		placementRules: [],
		racks: [],
		services: [
			{
				name: SERVICE_NAME,
				partner: 'bench',
				endpointSelector: {matchLabels: {service: SERVICE_NAME}},
				slots: SLOTS,
				connections: CONNECTIONS,
				defaultClass: 'match',
				classes: ['match', 'notice'],
			},
		],
		tokens: [
			{name: 'operator', sha256: sha256(operatorToken), role: 'operator', partner: 'bench'},
			...CUSTOMERS.map(
				(name) => ({name, sha256: sha256(tokens[name]!), role: 'caller', partner: 'bench', customer: name}) as const,
			),
		],
	};
};

/** Starts instances, applies a configuration and waits until they can serve requests. */
export const startEdge = async (lifecycle: Lifecycle, platform: Platform, count: number): Promise<Edge> => {
	const operatorToken = randomBytes(32).toString('base64url');
	const tokens = Object.fromEntries(CUSTOMERS.map((name) => [name, randomBytes(32).toString('base64url')]));
	const instances = await Promise.all(
		Array.from({length: count}, async (_, index) => {
			const id = `q${index + 1}`;
			const started = await startChild<InstanceReady>(lifecycle, 'instance-process', [
				JSON.stringify({
					id,
					availabilityZone: 'a',
					host: '127.0.0.1',
					port: 0,
					peerHost: '127.0.0.1',
					peerPort: 0,
					storeUrl: platform.storeUrl,
					instanceListUrl: platform.listUrl,
					bootstrapTokenSha256: sha256(operatorToken),
					drainSeconds: 30,
					logLevel: 'error',
				}),
			]);
			const response = await request(`${platform.listUrl}/v1/instances/${id}`, {
				method: 'PUT',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					id,
					role: 'instance',
					address: started.ready.peerAddress,
					availabilityZone: 'a',
					state: 'live',
					labels: {},
				}),
			});
			await response.body.dump();
			return started;
		}),
	);
	const client = createOperatorClient({url: `http://${instances[0]!.ready.address}`, token: operatorToken});
	await client.apply(0, declarationsFor(tokens, operatorToken) satisfies Omit<Bundle, 'generation'>);
	// Allows time for member discovery and for the first distribution of slots.
	await sleep(4000);
	return {instances, tokens};
};
