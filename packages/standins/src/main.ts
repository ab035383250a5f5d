import process from 'node:process';
import type {ListedInstance} from '@bergamotgauge/model';
import {Command} from 'commander';
import {request} from 'undici';
import {startEndpoint, startInstanceList, startStore, startWorker} from './index.js';

const announce = (ready: unknown): void => {
	process.stdout.write(`ready ${JSON.stringify(ready)}\n`);
};

const registerListedInstance = async (listUrl: string, instance: ListedInstance): Promise<void> => {
	const response = await request(`${listUrl}/v1/instances/${instance.id}`, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(instance),
	});
	await response.body.dump();
};

type GroupOptions = Readonly<{list: string; names: string; availabilityZones: string; label: string[]; slots: string}>;

const zoneOf = (availabilityZones: string, index: number): string => {
	const zones = availabilityZones.split(',');
	return zones[index % zones.length]!;
};

const labelsOf = (pairs: readonly string[]): Record<string, string> =>
	Object.fromEntries(pairs.map((pair) => pair.split('=', 2) as [string, string]));

const program = new Command('standins').description(
	'Stand-ins for the platform: store, instance list, workers, endpoints',
);

program
	.command('store')
	.option('--port <port>', 'port to listen on', '0')
	.action(async ({port}: Readonly<{port: string}>) => {
		const {address} = await startStore(Number(port));
		announce({address});
	});

program
	.command('instance-list')
	.option('--port <port>', 'port to listen on', '0')
	.option('--lag-ms <ms>', 'delay before a change is visible', '0')
	.action(async ({port, lagMs}: Readonly<{port: string; lagMs: string}>) => {
		const {address} = await startInstanceList({port: Number(port), lagMs: Number(lagMs)});
		announce({address});
	});

program
	.command('workers')
	.requiredOption('--list <url>', 'instance list to register with')
	.requiredOption('--names <names>', 'comma-separated names')
	.option('--availability-zones <names>', 'availability zones in turn', 'a')
	.action(async ({list, names, availabilityZones}: GroupOptions) => {
		const workers = await Promise.all(names.split(',').map(async (name) => startWorker({name})));
		await Promise.all(
			workers.map(async ({name, address}, index) =>
				registerListedInstance(list, {
					id: name,
					role: 'worker',
					address,
					availabilityZone: zoneOf(availabilityZones, index),
					state: 'live',
					labels: {},
				}),
			),
		);
		announce(Object.fromEntries(workers.map(({name, address}) => [name, address])));
	});

program
	.command('endpoints')
	.requiredOption('--list <url>', 'instance list to register with')
	.requiredOption('--names <names>', 'comma-separated ids')
	.option('--availability-zones <names>', 'availability zones in turn', 'a')
	.option('--label <key=value...>', 'labels of the endpoints', [])
	.option('--slots <count>', 'requests that one endpoint runs concurrently', '8')
	.action(async ({list, names, availabilityZones, label, slots}: GroupOptions) => {
		const endpoints = await Promise.all(names.split(',').map(async (id) => startEndpoint({id, slots: Number(slots)})));
		await Promise.all(
			endpoints.map(async ({id, address}, index) =>
				registerListedInstance(list, {
					id,
					role: 'endpoint',
					address,
					availabilityZone: zoneOf(availabilityZones, index),
					state: 'live',
					labels: labelsOf(label),
				}),
			),
		);
		announce(Object.fromEntries(endpoints.map(({id, address}) => [id, address])));
	});

await program.parseAsync();
