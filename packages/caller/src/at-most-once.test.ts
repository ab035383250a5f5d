import {Buffer} from 'node:buffer';
import type {EndpointResponse, EndpointRequest} from '@bergamotgauge/endpoint';
import {ServiceError, type ClaimShardRecord} from '@bergamotgauge/model';
import t from 'tap';
import {v7 as uuidv7} from 'uuid';
import {sendAtMostOnce} from './at-most-once.js';
import {applyClaim, applyFinish, EMPTY_CLAIM_SHARD} from './claim-shard.js';
import {MAX_CLOCK_SKEW_MS, MAX_KEY_AGE_MS} from './constants.js';
import {parseIdempotencyKey} from './idempotency-key.js';
import type {Claims} from './types.js';

const NOW_MS = Date.UTC(2026, 0, 1);
const requestOf = (id: string, body = 'notice'): EndpointRequest => ({
	id,
	service: {
		name: 'listings',
		partner: 'p',
		endpointSelector: {},
		slots: 8,
		connections: 60,
		defaultClass: 'notice',
		classes: [],
	},
	customer: 'acme',
	requestClass: 'notice',
	retryRule: 'at-most-once',
	method: 'POST',
	path: '/',
	headers: {},
	body: Buffer.from(body),
	deadlineMs: 1000,
});
const answerOf = (size: number): EndpointResponse => ({
	endpoint: 'e1',
	status: 200,
	headers: {'content-type': 'text/plain'},
	body: Buffer.alloc(size, 'x'),
});

const createClaims = (): Claims => {
	let shard: ClaimShardRecord = EMPTY_CLAIM_SHARD;
	return {
		async claim(claim) {
			const applied = applyClaim(shard, claim, NOW_MS);
			shard = applied.value;
			return applied.result;
		},
		async finish(finish) {
			shard = applyFinish(shard, finish).value;
		},
	};
};

const createSender = (dispatch: () => Promise<EndpointResponse>) => {
	const claims = createClaims();
	let sent = 0;
	const dispatcher = {
		async dispatch() {
			sent += 1;
			return dispatch();
		},
	};
	return {
		sent: () => sent,
		send: async (request: EndpointRequest, signal = new AbortController().signal) =>
			sendAtMostOnce({claims, dispatcher, key: 'k', request, signal}),
	};
};

// Guards against accepting keys whose claim may already have expired, and keys that are not UUID version 7.
await t.test('a key is a UUID version 7 of a bounded age', async (t) => {
	const keyAt = (msecs: number) => uuidv7({msecs});
	t.equal(parseIdempotencyKey(keyAt(NOW_MS).toUpperCase(), NOW_MS).length, 36);
	t.ok(parseIdempotencyKey(keyAt(NOW_MS - MAX_KEY_AGE_MS), NOW_MS));
	t.ok(parseIdempotencyKey(keyAt(NOW_MS + MAX_CLOCK_SKEW_MS), NOW_MS));
	for (const key of [undefined, '', 'k', '7d444840-9dc0-41d2-8b2e-5b2b1c1f0b1a']) {
		t.throws(() => parseIdempotencyKey(key, NOW_MS), {code: 'bad-request', verdict: 'not-run'});
	}

	const tooOld = keyAt(NOW_MS - MAX_KEY_AGE_MS - 1);
	t.throws(() => parseIdempotencyKey(tooOld, NOW_MS), {code: 'key-expired', verdict: 'may-have-run'});
	const tooNew = keyAt(NOW_MS + MAX_CLOCK_SKEW_MS + 1);
	t.throws(() => parseIdempotencyKey(tooNew, NOW_MS), {code: 'key-expired', verdict: 'not-run'});
});

// Guards against a second run, and against a duplicate that gets a response other than the first.
await t.test('a duplicate of a finished request gets the first response', async (t) => {
	const sender = createSender(async () => answerOf(1024));
	const first = await sender.send(requestOf('r1'));
	const second = await sender.send(requestOf('r2'));
	t.equal(sender.sent(), 1);
	t.same([first.isReplay, second.isReplay], [false, true]);
	t.equal(second.requestId, 'r1');
	t.same(second.endpointResponse.body, first.endpointResponse.body);
	await t.rejects(sender.send(requestOf('r3', 'other')), {code: 'conflict', verdict: 'not-run'});
});

// Guards against storing a large response, and against a wrong verdict when it was not stored.
await t.test('a response above 1 KB is not stored and a duplicate gets `ran`', async (t) => {
	const sender = createSender(async () => answerOf(1025));
	await sender.send(requestOf('r1'));
	await t.rejects(sender.send(requestOf('r2')), {code: 'conflict', verdict: 'ran', details: {requestId: 'r1'}});
	t.equal(sender.sent(), 1);
});

// Guards against resending a request that may have run, and against a key that stays claimed although its request did not run.
await t.test('only a request that did not run may be sent again', async (t) => {
	for (const [verdict, runs, repeatCode] of [
		['not-run', 2, 'endpoint-failed'],
		['may-have-run', 1, 'conflict'],
		['ran', 1, 'conflict'],
	] as const) {
		const sender = createSender(async () => {
			throw new ServiceError('failed', {code: 'endpoint-failed', verdict});
		});
		await t.rejects(sender.send(requestOf('r1')), {code: 'endpoint-failed', verdict});
		await t.rejects(sender.send(requestOf('r2')), {code: repeatCode, verdict});
		t.equal(sender.sent(), runs, verdict);
	}
});

// Guards against running a request whose caller no longer waits for the response.
await t.test('a request whose caller has disconnected is not sent', async (t) => {
	const sender = createSender(async () => answerOf(1));
	await t.rejects(sender.send(requestOf('r1'), AbortSignal.abort()), {code: 'cancelled', verdict: 'not-run'});
	t.equal(sender.sent(), 0);
});

// Guards against stored responses that use up the space for claims, and against an oversized claim that fails the other changes batched into the same store write.
await t.test('a shard stops storing responses before it refuses claims', async (t) => {
	let shard: ClaimShardRecord = EMPTY_CLAIM_SHARD;
	const claimOf = (index: number) => ({key: `k${index}`, customer: 'acme', fingerprint: 'f', requestId: `r${index}`});
	const answer = {status: 200, contentType: 'text/plain', body: Buffer.alloc(1024)};
	for (let index = 0; index < 600; index += 1) {
		shard = applyClaim(shard, claimOf(index), NOW_MS).value;
		shard = applyFinish(shard, {...claimOf(index), verdict: 'ran', answer}).value;
	}

	const records = Object.values(shard.claims);
	t.ok(records.some((claim) => claim.answer));
	t.ok(records.some((claim) => !claim.answer));
	const large = {...claimOf(9999), fingerprint: 'f'.repeat(1_000_000)};
	t.throws(() => applyClaim(shard, large, NOW_MS), {code: 'overloaded', verdict: 'not-run', retryAfterMs: 5000});
});
