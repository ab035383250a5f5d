import {
	startListedInstance,
	startPlatform,
	pollUntil,
	type Platform,
	type StartedInstance,
} from '@bergamotgauge/harness';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import {createOperatorClient, type OperatorClient} from '@bergamotgauge/operator';
import {mean} from 'simple-statistics';
import {request} from 'undici';
import {generateDeclarations, type GeneratedDeclarations} from './declarations.js';
import type {Usage} from './types.js';
import {measureUsage} from './usage.js';

export type FleetOptions = Readonly<{
	instances: number;
	workers: number;
	accelerators?: number;
	customers?: number;
	endpoints?: number;
}>;

export type StoreCalls = Readonly<Record<string, number>>;

/** A running service and its platform stand-ins, each in its own process. */
export type Fleet = Readonly<{
	platform: Platform;
	instances: readonly StartedInstance[];
	generated: GeneratedDeclarations;
	operator: OperatorClient;
	caller: (index: number) => OperatorClient;
	/** Number of store calls so far by kind. */
	storeCalls: () => Promise<StoreCalls>;
	/** Mean resource usage of the instances over a window. */
	measure: (windowMs: number) => Promise<Usage>;
	close: () => Promise<void>;
}>;

const waitUntilInForce = async (operator: OperatorClient, generation: number, count: number): Promise<void> => {
	await pollUntil(`generation ${generation} in force on ${count} instances`, async () => {
		const {instances} = await operator.status();
		const isInForce = instances.length >= count && instances.every((instance) => instance.generation >= generation);
		return isInForce ? true : undefined;
	});
};

const averageOf = (usages: readonly Usage[]): Usage => ({
	cpu: mean(usages.map(({cpu}) => cpu)),
	bytesPerSecond: mean(usages.map(({bytesPerSecond}) => bytesPerSecond)),
	memory: mean(usages.map(({memory}) => memory)),
});

/**
Starts a service of the given size and waits until the configuration is in force on every instance.

@example
```ts
const fleet = await startFleet({instances: 3, workers: 32});
const usage = await fleet.measure(8000);
await fleet.close();
```
*/
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
	const {workers, accelerators = 8, customers = 4, endpoints = 8} = options;
	const lifecycle = createLifecycle('fleet');
	try {
		const generated = generateDeclarations({workers, customers, accelerators});
		const {declarations, operatorToken, callerToken} = generated;
		const platform = await startPlatform(lifecycle, {
			racks: declarations.racks,
			endpointCount: endpoints,
			service: 'service',
			availabilityZones: ['a', 'b', 'c'],
		});
		const instances = await Promise.all(
			Array.from({length: options.instances}, async (_, index) =>
				startListedInstance(lifecycle, {
					id: `i${index}`,
					availabilityZone: ['a', 'b', 'c'][index % 3]!,
					platform,
					operatorToken,
				}),
			),
		);
		const clientOf = (index: number, token: string) =>
			createOperatorClient({url: `http://${instances[index % instances.length]!.address}`, token});
		const operator = clientOf(0, operatorToken);
		await waitUntilInForce(operator, await operator.apply(0, declarations), options.instances);
		return {
			platform,
			instances,
			generated,
			operator,
			caller: (index) => clientOf(index, callerToken),
			async storeCalls() {
				const response = await request(`${platform.storeUrl}/calls`);
				return (await response.body.json()) as StoreCalls;
			},
			measure: async (windowMs) =>
				averageOf(
					await measureUsage(
						instances.map(({process: {child}}) => child.pid!),
						windowMs,
					),
				),
			close: async () => lifecycle.close(),
		};
	} catch (error) {
		await lifecycle.close();
		throw error;
	}
};
