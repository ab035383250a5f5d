import type {Customer, Declarations, JobClass, Rack} from '@bergamotgauge/model';
import {newToken, sha256} from '@bergamotgauge/harness';
import {WORKERS_PER_RACK} from './constants.js';

export type GeneratedDeclarations = Readonly<{
	declarations: Declarations;
	operatorToken: string;
	callerToken: string;
}>;

const rackOf = (index: number, workers: number, accelerators: number): Rack => ({
	name: `rack-${index}`,
	pool: 'pool',
	availabilityZone: ['a', 'b', 'c'][index % 3]!,
	workers: Array.from({length: workers}, (_, position) => ({
		name: `rack-${index}-w${position}`,
		rack: `rack-${index}`,
		position,
		availabilityZone: ['a', 'b', 'c'][index % 3]!,
		cores: 130,
		memoryGigabytes: 250,
		accelerators,
		guards: true,
		labels: {partner: 'partner', accelerator: 'standard'},
	})),
});

const customerOf = (index: number): Customer => ({
	name: `team-${index}`,
	partner: 'partner',
	weight: 1,
	labels: {partner: 'partner', team: `team-${index}`},
	quota: {accelerators: 100_000, queuedJobs: 10_000, concurrentRequests: 256, queuedRequests: 1024},
});

const jobClasses: readonly JobClass[] = [
	{
		name: 'batch',
		urgency: 'batch',
		preemptible: true,
		checkpointSeconds: 20,
		retryRule: 'idempotent',
		defaultDeadlineSeconds: 60,
		maxAttempts: 3,
	},
];

/**
Generates declarations for a fleet of the given size.

@example
```ts
const {declarations, operatorToken} = generateDeclarations({workers: 32, customers: 4});
```
*/
export const generateDeclarations = ({
	workers,
	customers,
	accelerators = 8,
}: Readonly<{workers: number; customers: number; accelerators?: number}>): GeneratedDeclarations => {
	const operatorToken = newToken();
	const callerToken = newToken();
	const racks = Array.from({length: Math.ceil(workers / WORKERS_PER_RACK)}, (_, index) =>
		rackOf(index, Math.min(WORKERS_PER_RACK, workers - index * WORKERS_PER_RACK), accelerators),
	);
	return {
		operatorToken,
		callerToken,
		declarations: {
			customers: Array.from({length: customers}, (_, index) => customerOf(index)),
			guarantees: [],
			jobClasses,
			pools: [
				{
					name: 'pool',
					weights: {completionTime: 0.5, fragmentation: 0.5},
					shares: [{partner: 'partner', share: 1}],
				},
			],
			placementRules: [],
			racks,
			services: [
				{
					name: 'service',
					partner: 'partner',
					endpointSelector: {matchLabels: {service: 'service'}},
					slots: 8,
					connections: 60,
					defaultClass: 'batch',
					classes: [],
				},
			],
			tokens: [
				{name: 'operator', sha256: sha256(operatorToken), role: 'operator', partner: 'partner'},
				{name: 'caller', sha256: sha256(callerToken), role: 'caller', partner: 'partner', customer: 'team-0'},
			],
		},
	};
};
