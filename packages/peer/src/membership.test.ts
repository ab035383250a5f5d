import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import type {ListedInstance} from '@bergamotgauge/model';
import {createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {
	createMembership,
	startPeerServer,
	type HeartbeatMessage,
	type MemberState,
	type OwnHeartbeat,
} from './index.js';

const log = createSilentLog();

const startMember = async (t: Test, id: string, {incarnation = 1, proxy = async (address: string) => address} = {}) => {
	const lifecycle = createLifecycle(id);
	t.teardown(async () => lifecycle.close());
	const status = {address: '', state: 'live' as MemberState, received: 0};
	const self = (): OwnHeartbeat => ({
		id,
		incarnation,
		address: status.address,
		state: status.state,
		generation: 0,
		revision: 0,
		availabilityZone: 'a',
		workersDown: [],
	});
	const membership = createMembership({self, lifecycle, log, random: () => 0.5});
	const address = await startPeerServer({
		host: '127.0.0.1',
		port: 0,
		handlers: {
			requests: {
				heartbeat(body) {
					status.received += 1;
					return membership.receive(body as HeartbeatMessage);
				},
			},
			events: {},
		},
		lifecycle,
		log,
	});
	status.address = await proxy(address);
	const listed: ListedInstance = {
		id,
		role: 'instance',
		address: status.address,
		availabilityZone: 'a',
		state: 'live',
		labels: {},
	};
	return {id, lifecycle, membership, status, listed};
};

const startMembers = async (t: Test, count: number) => {
	const members = await Promise.all(Array.from({length: count}, async (_, index) => startMember(t, `q${index}`)));
	const list = members.map(({listed}) => listed);
	for (const {membership} of members) {
		membership.applyList(list);
	}

	return {members, list};
};

const waitUntil = async (description: string, probe: () => boolean, limitMs = 6000): Promise<number> => {
	const startedMs = Date.now();
	while (!probe()) {
		if (Date.now() - startedMs > limitMs) {
			throw new Error(`${description} did not happen within ${limitMs} ms`);
		}

		await sleep(10);
	}

	return Date.now() - startedMs;
};

// Guards against heartbeat traffic that grows with the number of instances, and against late failure detection because few instances observe a member.
await t.test('with 24 instances the heartbeats to each one are bounded and all detect a failure', async (t) => {
	const {members} = await startMembers(t, 24);
	await waitUntil('all members everywhere', () => members.every(({membership}) => membership.owners().length === 24));
	const before = members.map(({status}) => status.received);
	await sleep(1000);
	const perSecond = members.map(({status}, index) => status.received - before[index]!);
	const total = perSecond.reduce((sum, count) => sum + count, 0);
	t.ok(total <= 24 * 4 * 2 * 1.5, `${total} heartbeats per second, four per instance and interval`);

	const [lost, ...others] = members;
	await lost!.lifecycle.close();
	const removedMs = await waitUntil('removal', () =>
		others.every(({membership}) => !membership.owners().includes(lost!.id)),
	);
	t.ok(removedMs < 5000, `removed after ${removedMs} ms`);
	t.ok(others.every(({membership}) => membership.owners().length === 23));
});

// Guards against an instance that keeps ownership until it is declared dead although it announced that it is leaving.
await t.test('peers assign no ownership to a leaving instance', async (t) => {
	const {members} = await startMembers(t, 6);
	await waitUntil('all members', () => members.every(({membership}) => membership.owners().length === 6));
	members[0]!.status.state = 'leaving';
	const detectedMs = await waitUntil('leaving', () =>
		members.every(({membership}) => membership.owners().length === 5),
	);
	t.ok(detectedMs < 2500, `detected after ${detectedMs} ms`);
});

// Guards against dropping members on an empty or partial list, and against ignoring an instance that an outdated list does not contain yet.
await t.test('the list alone neither removes a live member nor hides a new one', async (t) => {
	const {members, list} = await startMembers(t, 4);
	await waitUntil('all members', () => members.every(({membership}) => membership.owners().length === 4));
	for (const {membership} of members) {
		membership.applyList([]);
		membership.applyList(list.slice(0, 2));
	}

	const joining = await startMember(t, 'new');
	joining.membership.applyList(list);
	await waitUntil('joining instance', () => members.every(({membership}) => membership.owners().length === 5));
});

// Guards against declaring a live instance dead when its open connections stop responding although new connections work.
await t.test('unresponsive connections are replaced before the member is removed', async (t) => {
	const sockets = new Set<Socket>();
	const proxy = async (address: string): Promise<string> => {
		const server = createServer((inbound) => {
			const outbound = connect(Number(address.split(':')[1]), '127.0.0.1');
			inbound.pipe(outbound).pipe(inbound);
			sockets.add(inbound);
			for (const socket of [inbound, outbound]) {
				socket.on('error', () => {
					socket.destroy();
				});
			}
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		t.teardown(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	};

	const [a, b] = await Promise.all([startMember(t, 'a'), startMember(t, 'b', {proxy})]);
	for (const {membership} of [a, b]) {
		membership.applyList([a.listed, b.listed]);
	}

	// Heartbeats from a to b pass through the proxy; those from b to a do not.
	await waitUntil('both members', () => a.membership.owners().length === 2 && b.membership.owners().length === 2);
	const connections = sockets.size;
	for (const socket of sockets) {
		socket.unpipe();
		socket.pause();
	}

	await waitUntil('new connection', () => sockets.size > connections);
	t.same(a.membership.owners(), ['a', 'b']);
});

// Guards against two processes that act under the same id.
await t.test('the earlier of two processes with one id gives up its ownership', async (t) => {
	const {members, list} = await startMembers(t, 3);
	await waitUntil('all members', () => members.every(({membership}) => membership.owners().length === 3));
	const second = await startMember(t, 'q0', {incarnation: 2});
	second.membership.applyList(list);
	await waitUntil('superseded', () => !members[0]!.membership.owners().includes('q0'));
	t.ok(members[1]!.membership.owners().includes('q0'));
	t.equal(members[1]!.membership.link('q0')?.address, second.status.address);
});
