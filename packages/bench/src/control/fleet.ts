import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {
	newToken,
	readProcessUsage,
	registerListedInstance,
	sha256,
	startInstanceProcess,
	startStandIn,
	type ProcessUsage,
} from '@bergamotgauge/harness';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import type {Declarations, Rack} from '@bergamotgauge/model';
import {createOperatorClient, loadDirectory, type OperatorClient} from '@bergamotgauge/operator';
import {request} from 'undici';
import {START_BATCH} from './constants.js';

const EXAMPLE = fileURLToPath(new URL('../../../../examples/quebec', import.meta.url));
const ZONES = ['a', 'b', 'c'] as const;

/** A log event of an instance. */
export type LoggedEvent = Readonly<{instance: string; event: string; timeMs: number; line: string}>;

export type FleetInstance = Readonly<{
	id: string;
	address: string;
	kill: (signal: NodeJS.Signals) => void;
	/** Resource usage since the process started. */
	usage: () => ProcessUsage;
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
Starts the platform stand-ins and `count` instances, each in its own process.

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
	const [operatorToken, callerToken] = [newToken(), newToken()];
	const [store, list] = await Promise.all([
		startStandIn(lifecycle, ['store']),
		startStandIn(lifecycle, ['instance-list', '--lag-ms', '100']),
	]);
	const listUrl = `http://${list.address}`;
	const names = example.racks.flatMap((rack) => rack.workers).map((worker) => worker.name);
	await startStandIn(lifecycle, ['workers', '--list', listUrl, '--names', names.join(',')]);
	const instances = new Map<string, FleetInstance>();
	const events: LoggedEvent[] = [];

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
			usage: () => readProcessUsage(child.pid!),
		});
		await registerListedInstance(listUrl, {
			id,
			role: 'instance',
			address: started.peerAddress,
			availabilityZone: zone,
			state: 'live',
			labels: {},
		});
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
