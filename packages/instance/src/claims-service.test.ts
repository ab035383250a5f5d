import type {Claim, ClaimResult} from '@bergamotgauge/caller';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import {claimShardKey, ServiceError, type Verdict} from '@bergamotgauge/model';
import {ownerOf, type PeerLink} from '@bergamotgauge/peer';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {createClaimService, type ClaimService} from './claims-service.js';
import {createFakeStore, type FakeStore} from './test/fake-store.js';

const MEMBERS = ['a', 'b', 'c'];
const KEY = '0198c0de-0000-7000-8000-000000000001';
const FIRST: Claim = {key: KEY, customer: 'acme', fingerprint: 'f1', requestId: 'r1'};
const SECOND: Claim = {...FIRST, requestId: 'r2'};

type Group = Readonly<{
	store: FakeStore;
	at: (id: string) => ClaimService;
	owner: ClaimService;
	other: ClaimService;
	/** Makes calls to every peer fail with the verdict. */
	failPeerCalls: (verdict: Verdict | undefined) => void;
}>;

const createGroup = (t: Pick<Test, 'teardown'>): Group => {
	const store = createFakeStore();
	const lifecycle = createLifecycle('test');
	t.teardown(async () => lifecycle.close());
	let peerFailureVerdict: Verdict | undefined;
	const services = new Map<string, ClaimService>();
	const linkTo = (id: string): Pick<PeerLink, 'call'> => ({
		async call(method, body) {
			if (peerFailureVerdict) {
				throw new ServiceError('peer call failed', {code: 'peer-unavailable', verdict: peerFailureVerdict});
			}

			return services.get(id)!.handlers[method as 'claim'](body, 'test');
		},
	});
	for (const id of MEMBERS) {
		const membership = {owners: () => MEMBERS, link: (peer: string) => linkTo(peer) as PeerLink};
		services.set(
			id,
			createClaimService({
				store,
				log: createSilentLog(),
				metrics: createMetrics(),
				lifecycle,
				membership,
				settings: {id},
			}),
		);
	}

	const owner = ownerOf(claimShardKey(FIRST.customer, KEY), MEMBERS)!;
	return {
		store,
		at: (id) => services.get(id)!,
		owner: services.get(owner)!,
		other: services.get(MEMBERS.find((id) => id !== owner)!)!,
		failPeerCalls(verdict) {
			peerFailureVerdict = verdict;
		},
	};
};

const pollUntil = async (isDone: () => boolean): Promise<void> => {
	while (!isDone()) {
		await sleep(10);
	}
};

const kindOf = (result: ClaimResult): string => result.kind;

const claimKind = async (service: ClaimService, claim: Claim): Promise<string> => kindOf(await service.claim(claim));

// Guards against one key being granted twice, through the same or through different instances.
await t.test('a key is granted once among all instances', async (t) => {
	const group = createGroup(t);
	const results = await Promise.all(
		[group.owner, group.other, group.at('a'), group.at('b'), group.at('c')].map(async (service, index) =>
			service.claim({...FIRST, requestId: `r${index}`}),
		),
	);
	t.equal(results.filter((result) => result.kind === 'granted').length, 1);
	t.ok(group.store.writes <= 2, 'concurrent claims share writes');
});

// Guards against two grants when the owner and an instance that cannot reach it write at the same time.
await t.test('a direct write and the owner do not both grant', async (t) => {
	const group = createGroup(t);
	group.failPeerCalls('not-run');
	const results = await Promise.all([group.owner.claim(FIRST), group.other.claim(SECOND)]);
	t.same(results.map((result) => kindOf(result)).toSorted(), ['granted', 'repeated']);
});

// Guards against a second writer while the owner may still process the first call.
await t.test('a call that may have reached the owner is not followed by a direct write', async (t) => {
	const group = createGroup(t);
	group.failPeerCalls('may-have-run');
	await t.rejects(group.other.claim(FIRST), {code: 'peer-unavailable', verdict: 'not-run'});
	t.equal(group.store.writes, 0);
});

// Guards against the repeat of a request that ran being sent again or being told that it did not run.
await t.test('a repeat learns how the first request ended', async (t) => {
	const group = createGroup(t);
	await group.other.claim(FIRST);
	const open = await group.owner.claim(SECOND);
	t.match(open, {kind: 'repeated', claim: {state: 'claimed', verdict: 'may-have-run', requestId: 'r1'}});
	const answer = {status: 201, contentType: 'text/plain', body: new Uint8Array([1, 2])};
	await group.other.finish({...FIRST, verdict: 'ran', answer});
	const ended = await group.at('c').claim(SECOND);
	t.match(ended, {kind: 'repeated', claim: {state: 'finished', verdict: 'ran', answer: {status: 201}}});
	const otherCustomer = await group.owner.claim({...SECOND, customer: 'zenith'});
	t.equal(otherCustomer.kind, 'granted', 'the key of another customer is another key');
	const otherContent = await group.owner.claim({...SECOND, fingerprint: 'f2'});
	t.equal(otherContent.kind, 'mismatched');
});

// Guards against a stale copy of the shard hiding a finish that another instance wrote.
await t.test('a finish that was written directly is seen by the owner', async (t) => {
	const group = createGroup(t);
	await group.owner.claim(FIRST);
	group.failPeerCalls('not-run');
	await group.other.finish({...FIRST, verdict: 'ran'});
	t.match(await group.owner.claim(SECOND), {kind: 'repeated', claim: {state: 'finished', verdict: 'ran'}});
});

// Guards against a refused request blocking its own repeat.
await t.test('a request that did not run releases its key', async (t) => {
	const group = createGroup(t);
	await group.owner.claim(FIRST);
	await group.owner.finish({...FIRST, verdict: 'not-run'});
	t.equal(await claimKind(group.other, SECOND), 'granted');
	await group.owner.finish({...FIRST, verdict: 'not-run'});
	t.equal(await claimKind(group.owner, {...FIRST, requestId: 'r3'}), 'repeated', 'a late finish changes nothing');
});

// Guards against a claim that is stored but whose requester was told otherwise.
await t.test('a write with an unknown effect is repeated under the same request id', async (t) => {
	const group = createGroup(t);
	group.store.unknownWrites = 1;
	t.equal(await claimKind(group.owner, FIRST), 'granted');
});

// Guards against a refused request that blocks its repeat for 15 minutes: the write of its claim got no response, and the next attempt was refused.
await t.test('a claim that may be stored is released when its request is refused', async (t) => {
	for (const requester of ['owner', 'other'] as const) {
		const group = createGroup(t);
		group.store.unknownWrites = 1;
		group.store.failAfterUnknownWrite = true;
		await t.rejects(group[requester].claim(FIRST), {code: 'store-unavailable', verdict: 'not-run'});
		group.store.outage = false;
		await t.resolves(pollUntil(() => group[requester].waitingFinishes() === 0));
		t.equal(await claimKind(group.owner, SECOND), 'granted', `the repeat of a request by the ${requester} may run`);
	}
});

// Guards against sending without a stored claim, and against a refusal without a retry time.
await t.test('a store outage refuses with not-run and a retry time', async (t) => {
	const group = createGroup(t);
	group.store.outage = true;
	for (const service of [group.owner, group.other]) {
		await t.rejects(service.claim(FIRST), {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
	}
});

// Guards against claims that stay in the shard forever, and against a write made only to expire them.
await t.test('claims expire with the next write', async (t) => {
	const clock = FakeTimers.install({toFake: ['Date'], now: 1_700_000_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const group = createGroup(t);
	await group.owner.claim(FIRST);
	clock.tick(15 * 60_000);
	t.equal(await claimKind(group.owner, SECOND), 'repeated', 'a claim is kept for 15 minutes');
	t.equal(group.store.writes, 1);
	clock.tick(1);
	const sameShard = Array.from({length: 100}, (_, index) => `${KEY.slice(0, -2)}${index + 10}`).find(
		(key) => claimShardKey('acme', key) === claimShardKey('acme', KEY),
	);
	await group.owner.claim({...SECOND, key: sameShard!});
	const {value} = await group.store.get(claimShardKey('acme', KEY));
	t.same(Object.keys((value as {claims: Record<string, unknown>}).claims), [`acme/${sameShard}`]);
	t.equal(group.store.writes, 2);
});
