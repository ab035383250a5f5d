import {createHash, randomBytes} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {startInstanceProcess, startStandIn} from '@bergamotgauge/harness';
import {sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import type {Declarations, Rack} from '@bergamotgauge/model';
import {createOperatorClient, loadDirectory, type OperatorClient} from '@bergamotgauge/operator';
import {request} from 'undici';
import {CLOCK_TICKS, POLL_MS, START_BATCH, STEP_DEADLINE_MS} from './constants.js';

const EXAMPLE = fileURLToPath(new URL('../../../../examples/quebec', import.meta.url));
const ZONES = ['a', 'b', 'c'] as const;

/** An event of an instance's log. */
export type LoggedEvent = Readonly<{instance: string; event: string; timeMs: number; line: string}>;

export type Usage = Readonly<{cpuSeconds: number; bytes: number}>;

export type FleetInstance = Readonly<{
	id: string;
	address: string;
	kill: (signal: NodeJS.Signals) => void;
	/** CPU time and bytes that passed through read and write calls so far. */
	usage: () => Usage;
}>;

export type Fleet = Readonly<{
	instances: Map<string, FleetInstance>;
	events: readonly LoggedEvent[];
	operator: (id: string) => OperatorClient;
	caller: (id: string) => OperatorClient;
	declarations: (racks: number, revision: number) => Declarations;
	storeCalls: () => Promise<Readonly<Record<string, number>>>;
	start: (id: string) => Promise<void>;
}>;

export const until = async <Result>(what: string, probe: () => Promise<Result | undefined>): Promise<Result> => {
	const deadlineMs = Date.now() + STEP_DEADLINE_MS;
	for (;;) {
		const result = await probe();
		if (result !== undefined) {
			return result;
		}

		if (Date.now() > deadlineMs) {
			throw new Error(`${what} did not happen within ${STEP_DEADLINE_MS} ms`);
		}

		await sleep(POLL_MS);
	}
};

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

const numberAfter = (text: string, field: string): number =>
	Number(new RegExp(String.raw`^${field}: (?<value>\d+)$`, 'mv').exec(text)?.groups?.value ?? 0);

const usageOf = (pid: number): Usage => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	return {
		cpuSeconds: (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS,
		bytes: numberAfter(io, 'rchar') + numberAfter(io, 'wchar'),
	};
};

const cloneRack = (rack: Rack, index: number): Rack => ({
	...rack,
	name: `${rack.name}-${index}`,
	workers: rack.workers.map((worker) => ({
		...worker,
		rack: `${rack.name}-${index}`,
		name: `${worker.name}-${index}`,
	})),
});

/**
Starts the stand-ins of the platform and a number of instances as processes.

@example
```ts
const fleet = await startFleet(lifecycle, 9);
```
*/
export const startFleet = async (lifecycle: Lifecycle, count: number): Promise<Fleet> => {
	const loaded = await loadDirectory(EXAMPLE);
	if (!loaded.ok) {
		throw new Error(`the example is not valid: ${JSON.stringify(loaded.faults)}`);
	}

	const example = loaded.declarations;
	const customer = example.customers[0]!;
	const [operatorToken, callerToken] = [randomBytes(32).toString('base64url'), randomBytes(32).toString('base64url')];
	const [store, list] = await Promise.all([
		startStandIn(lifecycle, ['store']),
		startStandIn(lifecycle, ['instance-list', '--lag-ms', '100']),
	]);
	const listUrl = `http://${list.address}`;
	const names = example.racks.flatMap((rack) => rack.workers).map((worker) => worker.name);
	await startStandIn(lifecycle, ['workers', '--list', listUrl, '--names', names.join(',')]);
	const instances = new Map<string, FleetInstance>();
	const events: LoggedEvent[] = [];

	const register = async (id: string, address: string, availabilityZone: string) => {
		const response = await request(`${listUrl}/v1/instances/${id}`, {
			method: 'PUT',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({id, role: 'instance', address, availabilityZone, state: 'live', labels: {}}),
		});
		await response.body.dump();
	};

	const start = async (id: string) => {
		const zone = ZONES[instances.size % ZONES.length]!;
		const started = await startInstanceProcess(lifecycle, id, [
			'--availability-zone',
			zone,
			'--port',
			'0',
			'--peer-port',
			'0',
			'--store-url',
			`http://${store.address}`,
			'--instance-list-url',
			listUrl,
			'--bootstrap-token-sha256',
			sha256(operatorToken),
		]);
		const {child} = started.process;
		createInterface(child.stdout!).on('line', (line) => {
			const groups = /^time=(?<time>\S+) level=\S+ event=(?<event>\S+)/v.exec(line)?.groups;
			if (groups) {
				events.push({instance: id, event: groups.event!, timeMs: Date.parse(groups.time!), line});
			}
		});
		instances.set(id, {
			id,
			address: started.address,
			kill(signal) {
				child.kill(signal);
			},
			usage: () => usageOf(child.pid!),
		});
		await register(id, started.peerAddress, zone);
	};

	const clientOf = (token: string) => (id: string) =>
		createOperatorClient({url: `http://${instances.get(id)!.address}`, token});
	for (let first = 1; first <= count; first += START_BATCH) {
		const batch = Array.from({length: Math.min(START_BATCH, count - first + 1)}, (_, index) => `q${first + index}`);
		await Promise.all(batch.map(async (id) => start(id)));
	}

	return {
		instances,
		events,
		start,
		operator: clientOf(operatorToken),
		caller: clientOf(callerToken),
		declarations: (racks, revision) => ({
			...example,
			customers: example.customers.map((item) => (item === customer ? {...item, weight: revision} : item)),
			racks: Array.from({length: racks}, (_, index) => {
				const rack = example.racks[index % example.racks.length]!;
				return index < example.racks.length ? rack : cloneRack(rack, index);
			}),
			tokens: [
				{name: 'operator', sha256: sha256(operatorToken), role: 'operator', partner: customer.partner},
				{
					name: 'caller',
					sha256: sha256(callerToken),
					role: 'caller',
					partner: customer.partner,
					customer: customer.name,
				},
			],
		}),
		async storeCalls() {
			const response = await request(`http://${store.address}/calls`);
			return (await response.body.json()) as Readonly<Record<string, number>>;
		},
	};
};
