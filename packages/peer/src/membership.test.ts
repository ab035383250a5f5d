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

const until = async (what: string, probe: () => boolean, limitMs = 6000): Promise<number> => {
	const startedMs = Date.now();
	while (!probe()) {
		if (Date.now() - startedMs > limitMs) {
			throw new Error(`${what} did not happen within ${limitMs} ms`);
		}

		await sleep(10);
	}

	return Date.now() - startedMs;
};

// Guards against traffic that grows with the number of instances, and against members that are removed late when few instances observe them.
await t.test('with 24 instances each one gets a bounded number of heartbeats and all learn of a loss', async (t) => {
	const {members} = await startMembers(t, 24);
	await until('all members everywhere', () => members.every(({membership}) => membership.owners().length === 24));
	const before = members.map(({status}) => status.received);
	await sleep(1000);
	const perSecond = members.map(({status}, index) => status.received - before[index]!);
	const total = perSecond.reduce((sum, count) => sum + count, 0);
	t.ok(total <= 24 * 4 * 2 * 1.5, `${total} heartbeats a second, four for each instance and interval`);

	const [lost, ...others] = members;
	await lost!.lifecycle.close();
	const removedMs = await until('removal', () =>
		others.every(({membership}) => !membership.owners().includes(lost!.id)),
	);
	t.ok(removedMs < 5000, `removed after ${removedMs} ms`);
	t.ok(others.every(({membership}) => membership.owners().length === 23));
});

// Guards against an instance that keeps its work until it is removed although it announced that it leaves.
await t.test('a leaving instance owns nothing at its peers', async (t) => {
	const {members} = await startMembers(t, 6);
	await until('all members', () => members.every(({membership}) => membership.owners().length === 6));
	members[0]!.status.state = 'leaving';
	const learntMs = await until('leaving', () => members.every(({membership}) => membership.owners().length === 5));
	t.ok(learntMs < 2500, `learnt after ${learntMs} ms`);
});

// Guards against members lost to an empty or half-empty list, and against an instance that the lagging list does not have yet.
await t.test('the list alone neither removes a living member nor hides a new one', async (t) => {
	const {members, list} = await startMembers(t, 4);
	await until('all members', () => members.every(({membership}) => membership.owners().length === 4));
	for (const {membership} of members) {
		membership.applyList([]);
		membership.applyList(list.slice(0, 2));
	}

	const newcomer = await startMember(t, 'new');
	newcomer.membership.applyList(list);
	await until('newcomer', () => members.every(({membership}) => membership.owners().length === 5));
});

// Guards against the removal of a living instance whose open connections went silent while new ones work.
await t.test('silent connections are replaced before the member is removed', async (t) => {
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

	// The heartbeats from a to b pass the proxy; those from b to a do not.
	await until('both members', () => a.membership.owners().length === 2 && b.membership.owners().length === 2);
	const connections = sockets.size;
	for (const socket of sockets) {
		socket.unpipe();
		socket.pause();
	}

	await until('new connection', () => sockets.size > connections);
	t.same(a.membership.owners(), ['a', 'b']);
});

// Guards against two processes that both act under one id.
await t.test('the earlier of two processes with one id gives up its ownership', async (t) => {
	const {members, list} = await startMembers(t, 3);
	await until('all members', () => members.every(({membership}) => membership.owners().length === 3));
	const second = await startMember(t, 'q0', {incarnation: 2});
	second.membership.applyList(list);
	await until('superseded', () => !members[0]!.membership.owners().includes('q0'));
	t.ok(members[1]!.membership.owners().includes('q0'));
	t.equal(members[1]!.membership.link('q0')?.address, second.status.address);
});
