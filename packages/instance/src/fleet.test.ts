import {createHash} from 'node:crypto';
import {sleep} from '@bergamotgauge/lifecycle';
import {BUNDLE_KEY, type Declarations, type ServiceError} from '@bergamotgauge/model';
import {createOperatorClient, EMPTY_DECLARATIONS, type ThreeWayDifference} from '@bergamotgauge/operator';
import {startInstanceList, startStore, type InstanceListStandIn, type StoreStandIn} from '@bergamotgauge/standins';
import {createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {startInstance, type Instance} from './index.js';

const TOKEN = 'operator-token-'.repeat(4);

const sha256 = createHash('sha256').update(TOKEN).digest('hex');

const declarations = (customers: readonly string[]): Declarations => ({
	...EMPTY_DECLARATIONS,
	customers: customers.map((name) => ({
		name,
		partner: 'quebec',
		weight: 1,
		quota: {accelerators: 8, queuedJobs: 10, concurrentRequests: 10, queuedRequests: 10},
		labels: {},
	})),
	tokens: [{name: 'operator', sha256, role: 'operator', partner: 'quebec'}],
});

type Fleet = Readonly<{
	store: StoreStandIn;
	list: InstanceListStandIn;
	start: (id: string) => Promise<Instance>;
	stop: (id: string) => Promise<void>;
	ids: () => readonly string[];
	generations: () => Promise<readonly number[]>;
	client: (id: string) => ReturnType<typeof createOperatorClient>;
}>;

const createFleet = async (t: Test): Promise<Fleet> => {
	const store = await startStore();
	const list = await startInstanceList();
	const instances = new Map<string, Instance>();
	t.teardown(async () => {
		await Promise.all([...instances.values()].map(async (instance) => instance.close()));
		await Promise.all([store.close(), list.close()]);
	});
	const client: Fleet['client'] = (id) =>
		createOperatorClient({url: `http://${instances.get(id)!.address}`, token: TOKEN});
	return {
		store,
		list,
		client,
		async start(id) {
			const settings = {
				id,
				availabilityZone: 'a',
				host: '127.0.0.1',
				port: 0,
				peerHost: '127.0.0.1',
				peerPort: 0,
				storeUrl: `http://${store.address}`,
				instanceListUrl: `http://${list.address}`,
				bootstrapTokenSha256: sha256,
				drainSeconds: 1,
				logLevel: 'info',
			} as const;
			const instance = await startInstance(settings, createSilentLog());
			instances.set(id, instance);
			list.set({id, role: 'instance', address: instance.peerAddress, availabilityZone: 'a', state: 'live', labels: {}});
			return instance;
		},
		async stop(id) {
			await instances.get(id)!.close();
			instances.delete(id);
			list.remove(id);
		},
		ids: () => [...instances.keys()],
		generations: async () =>
			Promise.all(
				[...instances.keys()].map(async (id) => {
					const {generation} = await client(id).status();
					return generation;
				}),
			),
	};
};

const until = async (what: string, probe: () => Promise<boolean>, limitMs = 10_000): Promise<void> => {
	const deadlineMs = Date.now() + limitMs;
	while (!(await probe())) {
		if (Date.now() > deadlineMs) {
			throw new Error(`${what} did not happen within ${limitMs} ms`);
		}

		await sleep(20);
	}
};

const isEverywhere = async (fleet: Fleet, generation: number): Promise<boolean> => {
	const generations = await fleet.generations();
	return generations.every((value) => value === generation);
};

const startThree = async (t: Test): Promise<Fleet> => {
	const fleet = await createFleet(t);
	for (const id of ['q1', 'q2', 'q3']) {
		await fleet.start(id);
	}

	await until('three members', async () => {
		const {instances} = await fleet.client('q1').status();
		return instances.filter(({health}) => health === 'alive').length === 3;
	});
	await fleet.client('q1').apply(0, declarations(['acme']));
	await until('generation 1 everywhere', async () => isEverywhere(fleet, 1));
	return fleet;
};

// Guards against an instance that cannot start, or starts without configuration, while the store is unavailable for long.
await t.test('the initial snapshot comes from a peer while the store is unavailable', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.outage = true;
	await fleet.start('q4');
	t.ok(await isEverywhere(fleet, 1), 'q4 serves with the generation of its peers');
});

// Guards against the loss of the configuration when every instance is replaced, one by one and then at once.
await t.test('the configuration survives the replacement of all instances', async (t) => {
	const fleet = await startThree(t);
	for (const [index, id] of fleet.ids().entries()) {
		await fleet.start(`n${index + 1}`);
		await fleet.stop(id);
	}

	t.same(await fleet.generations(), [1, 1, 1]);
	for (const id of fleet.ids()) {
		await fleet.stop(id);
	}

	await Promise.all(['m1', 'm2'].map(async (id) => fleet.start(id)));
	t.same(await fleet.generations(), [1, 1]);
	await fleet.client('m1').apply(1, declarations(['acme', 'bolt']));
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2));
});

// Guards against a configuration that reverts, or cannot be changed any more, after its store entry was removed.
await t.test('a removed store entry reverts nothing and the next apply follows on', async (t) => {
	const fleet = await startThree(t);
	const url = `http://${fleet.store.address}/v1/values/${encodeURIComponent(BUNDLE_KEY)}`;
	const response = await fetch(url);
	const {revision} = (await response.json()) as Readonly<{revision: number}>;
	await fetch(`${url}?expectedRevision=${revision}`, {method: 'DELETE'});
	await sleep(500);
	t.ok(await isEverywhere(fleet, 1));
	await fleet.start('q4');
	t.ok(await isEverywhere(fleet, 1), 'an instance that starts now has the generation of its peers');
	t.equal(await fleet.client('q4').apply(1, declarations(['acme', 'bolt'])), 2);
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2));
});

// Guards against members lost to an empty list while the store is unavailable too.
await t.test('an empty list during a store outage removes no member', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.outage = true;
	for (const id of fleet.ids()) {
		fleet.list.remove(id);
	}

	await sleep(2500);
	const {instances} = await fleet.client('q2').status();
	t.same(
		instances.map(({id, health}) => [id, health]),
		[
			['q1', 'alive'],
			['q2', 'alive'],
			['q3', 'alive'],
		],
	);
});

// Guards against two operators of whom one silently loses a change.
await t.test('of two racing operators one gets the three-way difference', async (t) => {
	const fleet = await startThree(t);
	const results = await Promise.allSettled([
		fleet.client('q1').apply(1, declarations(['acme', 'bolt'])),
		fleet.client('q2').apply(1, declarations(['acme', 'cask'])),
	]);
	const failed = results.filter((result) => result.status === 'rejected');
	t.equal(failed.length, 1);
	const reason = failed[0]!.reason as ServiceError;
	t.match(reason, {code: 'conflict', verdict: 'not-run', details: {generation: 2, basedOn: 1}});
	const differences = reason.details.differences as readonly ThreeWayDifference[];
	t.same(differences.map(({kind}) => kind).toSorted(), ['mine', 'theirs']);
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2));
});

// Guards against an apply that is reported as failed, or applied twice, when the store loses the response.
await t.test('an apply whose response is lost is reported as accepted', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.loseAnswers = true;
	setTimeout(() => {
		fleet.store.faults.loseAnswers = false;
	}, 200);
	t.equal(await fleet.client('q3').apply(1, declarations(['acme', 'bolt'])), 2);
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2));
});

// Guards against a lost change when the store loses the responses to both racing operators.
await t.test('of two racing operators whose responses are lost exactly one is accepted', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.loseAnswers = true;
	setTimeout(() => {
		fleet.store.faults.loseAnswers = false;
	}, 300);
	const changes = [declarations(['acme', 'bolt']), declarations(['acme', 'cask'])];
	const results = await Promise.allSettled(
		changes.map(async (change, index) => fleet.client(`q${index + 1}`).apply(1, change)),
	);
	const accepted = results.findIndex(({status}) => status === 'fulfilled');
	t.same(results.map(({status}) => status).toSorted(), ['fulfilled', 'rejected']);
	t.match(results[1 - accepted], {reason: {code: 'conflict', verdict: 'not-run'}});
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2));
	const {bundle} = await fleet.client('q3').bundle();
	t.same(bundle?.customers, changes[accepted]!.customers, 'the accepted change is the one in force');
});

// Guards against instances that stay on an old generation, or refuse changes, after an outage during which an instance was lost.
await t.test('after an outage with a lost instance the next apply is in force everywhere', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.outage = true;
	await fleet.stop('q2');
	await sleep(4000);
	await t.rejects(fleet.client('q1').apply(1, declarations(['bolt'])), {code: 'store-unavailable', verdict: 'not-run'});
	t.ok(await isEverywhere(fleet, 1));
	fleet.store.faults.outage = false;
	await until('recovery', async () => {
		const [result] = await Promise.allSettled([fleet.client('q1').apply(1, declarations(['bolt']))]);
		return result.status === 'fulfilled';
	});
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2), 2000);
});

// Guards against changes that are refused or applied twice when the store is slow but responds within the deadline.
await t.test('a slow store delays an apply and nothing else', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.latencyMs = 700;
	t.equal(await fleet.client('q2').apply(1, declarations(['bolt'])), 2);
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2), 2000);
});

// Guards against an instance that never receives a change because both watches and the pushes of its peers have stopped.
await t.test('a store that goes silent for a while leaves no instance behind', async (t) => {
	const fleet = await startThree(t);
	fleet.store.faults.silent = true;
	await sleep(2500);
	fleet.store.faults.silent = false;
	await until('recovery', async () => {
		const [result] = await Promise.allSettled([fleet.client('q3').apply(1, declarations(['bolt']))]);
		return result.status === 'fulfilled';
	});
	await until('generation 2 everywhere', async () => isEverywhere(fleet, 2), 2000);
});
