import type {Lifecycle} from '@bergamotgauge/lifecycle';
import type {ListedInstance} from '@bergamotgauge/model';
import {request} from 'undici';
import {startStandIn} from './processes.js';
import type {Platform, PlatformOptions} from './types.js';

/** Adds or replaces an entry in the instance list. */
export const registerListedInstance = async (listUrl: string, instance: ListedInstance): Promise<void> => {
	const response = await request(`${listUrl}/v1/instances/${instance.id}`, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(instance),
	});
	await response.body.dump();
};

/**
Starts the stand-ins for the platform as separate processes.

@example
```ts
const platform = await startPlatform(lifecycle, {racks, endpointCount: 30, service: 'listings', availabilityZones: ['a']});
```
*/
export const startPlatform = async (lifecycle: Lifecycle, options: PlatformOptions): Promise<Platform> => {
	const {racks, endpointCount, service, availabilityZones, listLagMs = 0} = options;
	const [store, list] = await Promise.all([
		startStandIn(lifecycle, ['store']),
		startStandIn(lifecycle, ['instance-list', '--lag-ms', String(listLagMs)]),
	]);
	const listUrl = `http://${list.address}`;
	const names = racks.flatMap((rack) => rack.workers).map((worker) => worker.name);
	const ids = Array.from({length: endpointCount}, (_, index) => `runner-${index + 1}`);
	const zones = availabilityZones.join(',');
	const [workers, endpoints] = await Promise.all([
		startStandIn(lifecycle, ['workers', '--list', listUrl, '--names', names.join(','), '--availability-zones', zones]),
		startStandIn(lifecycle, [
			'endpoints',
			'--list',
			listUrl,
			'--names',
			ids.join(','),
			'--availability-zones',
			zones,
			'--label',
			`service=${service}`,
		]),
	]);
	return {storeUrl: `http://${store.address}`, listUrl, workers, endpoints};
};
