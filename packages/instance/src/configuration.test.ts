import {hashToken} from '@bergamotgauge/caller';
import {BUNDLE_KEY, ServiceError, type AccessToken} from '@bergamotgauge/model';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createConfiguration} from './configuration.js';
import {createTestCluster, type TestCluster} from './test/test-cluster.js';

const OPERATOR: AccessToken = {
	name: 'operator',
	sha256: hashToken('an-operator-token-of-some-length'),
	role: 'operator',
	partner: 'partner',
};

const changeOf = ({bundle: {generation, ...declarations}}: TestCluster, weight: number) => ({
	basedOn: generation,
	declarations: {
		...declarations,
		customers: declarations.customers.map((customer) => ({...customer, weight})),
		tokens: [OPERATOR],
	},
});

// Guards against a change that is refused as a conflict although it is in force: the store carried its first write out late, just before the repeat.
await t.test('a repeated change that conflicts with its own late write is accepted', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const cluster = await createTestCluster();
	let lateWrite: (() => Promise<unknown>) | undefined;
	const engine = cluster.startEngine({
		id: 'one',
		isBehind: true,
		async intercept(name, call) {
			if (name !== `put ${BUNDLE_KEY}`) {
				return call();
			}

			if (!lateWrite) {
				lateWrite = call;
				throw new ServiceError('no response', {code: 'store-unavailable', verdict: 'may-have-run'});
			}

			await lateWrite();
			return call();
		},
	});
	const {apply} = createConfiguration(engine.context);
	await t.rejects(apply(OPERATOR, changeOf(cluster, 2)), {code: 'store-unavailable', verdict: 'may-have-run'});
	t.match(await apply(OPERATOR, changeOf(cluster, 2)), {generation: 2, customers: [{weight: 2}, {weight: 2}]});

	await t.rejects(apply(OPERATOR, changeOf(cluster, 3)), {code: 'conflict', verdict: 'not-run'}, 'another change');
	const closed = engine.close();
	await clock.tickAsync(1000);
	await closed;
});
