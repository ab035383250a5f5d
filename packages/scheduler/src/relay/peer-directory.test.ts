import {createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createMemoryKeyValue} from '../test/memory-key-value.js';
import {PEER_REFRESH_MS, PEER_RETRY_MAX_MS, PEER_TTL_MS} from './constants.js';
import {createPeerDirectory, INSTANCES_PREFIX} from './peer-directory.js';

// Guards against an instance that its peers never see again after its lease has ended, and against records of dead ones.
await t.test('a record lives as long as its instance, and an unreadable one hides no other', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const store = createMemoryKeyValue();
	store.put(`${INSTANCES_PREFIX}odd`, new Uint8Array([1, 2, 3]));
	const start = (id: string) => {
		const own = {id, address: `${id}:7001`, availabilityZone: 'a', cores: 0.5};
		const directory = createPeerDirectory({store, own, log: createSilentLog()});
		const controller = new AbortController();
		void directory.run(controller.signal);
		return {
			ids: () => directory.candidates().map((peer) => peer.id),
			stop() {
				controller.abort();
			},
		};
	};

	const [first, second] = [start('one'), start('two')];
	await clock.tickAsync(PEER_REFRESH_MS);
	t.same([first.ids(), second.ids()], [['two'], ['one']]);
	store.remove(`${INSTANCES_PREFIX}one`);
	await store.revokeLease(1);
	await clock.tickAsync(PEER_REFRESH_MS + PEER_RETRY_MAX_MS);
	t.ok(
		store.items().some(({key}) => key === `${INSTANCES_PREFIX}one`),
		'an instance whose lease has ended registers again',
	);
	second.stop();
	await clock.tickAsync(PEER_TTL_MS + PEER_REFRESH_MS);
	t.same(first.ids(), []);
	first.stop();
});
