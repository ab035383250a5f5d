import {Buffer} from 'node:buffer';
import {withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {Agent, request} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {STORE_DEADLINE_MS, STORE_RETRY_AFTER_MS, WATCH_GRACE_MS} from './constants.js';
import type {Changes, Entry, Store, StoreCall, WriteResult} from './types.js';
import {decodeValue, encodeValue, type Envelope} from './value-codec.js';

type WireEntry = Readonly<{key: string; revision: number; value: string | undefined}>;

type WireChanges = Readonly<{revision: number; entries: readonly WireEntry[]; compacted?: boolean}>;

type Reply = Readonly<{status: number; body: unknown}>;

export type StoreClientOptions = Readonly<{
	/** Base URL of the store. */
	url: string;
	metrics: Metrics;
	deadlineMs?: number;
}>;

type DecodedEntry = Readonly<{entry: Entry<unknown>; operation: string | undefined}>;

const decodeEntry = (wire: WireEntry): DecodedEntry => {
	const envelope: Envelope | undefined =
		wire.value === undefined ? undefined : decodeValue(Buffer.from(wire.value, 'base64'));
	return {
		entry: {key: wire.key, revision: wire.revision, value: envelope?.data},
		operation: envelope?.operation,
	};
};

const decodeChanges = (wire: WireChanges): Changes => ({
	revision: wire.revision,
	entries: wire.entries.map((entry) => decodeEntry(entry).entry),
	compacted: wire.compacted ?? false,
});

const unavailable = (cause: Error): ServiceError =>
	new ServiceError(`the store does not answer: ${cause.message}`, {
		code: 'store-unavailable',
		verdict: 'not-run',
		retryAfterMs: STORE_RETRY_AFTER_MS,
		cause,
	});

/**
Creates a client of the platform's key-value store.

@example
```ts
const store = createStoreClient({url: 'http://10.0.0.5:7000', metrics});
const result = await store.put('racks/r1', record, entry.revision);
```

Reads throw `store-unavailable`. A write whose effect is not known is resolved by reading back its operation id; only when that fails too the outcome is `unknown`.
*/
export const createStoreClient = ({url, metrics, deadlineMs = STORE_DEADLINE_MS}: StoreClientOptions): Store => {
	const agent = new Agent({connections: 16, pipelining: 1});

	const call = async (
		kind: StoreCall,
		path: string,
		options: Readonly<{
			method?: 'GET' | 'PUT' | 'DELETE';
			body?: Uint8Array;
			limitMs?: number;
			signal?: AbortSignal;
		}> = {},
	): Promise<Reply> => {
		metrics.count('store_calls_total', {call: kind});
		const startedMs = performance.now();
		try {
			return await withDeadline(
				options.limitMs ?? deadlineMs,
				async (signal) => {
					const response = await request(`${url}${path}`, {
						dispatcher: agent,
						method: options.method ?? 'GET',
						signal,
						headersTimeout: 0,
						bodyTimeout: 0,
						...(options.body && {body: options.body, headers: {'content-type': 'application/octet-stream'}}),
					});
					const body = await response.body.json();
					if (response.statusCode >= 500) {
						throw new Error(`status ${response.statusCode}`);
					}

					return {status: response.statusCode, body};
				},
				options.signal,
			);
		} finally {
			metrics.observe('store_call_milliseconds', performance.now() - startedMs, {call: kind});
		}
	};

	const read = async (key: string): Promise<DecodedEntry> => {
		const {status, body} = await call('get', `/v1/values/${encodeURIComponent(key)}`);
		return status === 404
			? {entry: {key, revision: 0, value: undefined}, operation: undefined}
			: decodeEntry(body as WireEntry);
	};

	const resolveUnknown = async (key: string, operation: string): Promise<WriteResult> => {
		try {
			const {entry, operation: lastOperation} = await read(key);
			return lastOperation === operation ? {outcome: 'applied', revision: entry.revision} : {outcome: 'unknown'};
		} catch {
			return {outcome: 'unknown'};
		}
	};

	const write = async (
		kind: 'put' | 'remove',
		key: string,
		expectedRevision: number,
		operation: string,
		body?: Uint8Array,
	): Promise<WriteResult> => {
		let reply: Reply;
		try {
			reply = await call(kind, `/v1/values/${encodeURIComponent(key)}?expectedRevision=${expectedRevision}`, {
				method: kind === 'put' ? 'PUT' : 'DELETE',
				...(body && {body}),
			});
		} catch (error) {
			if (error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED') {
				throw unavailable(error);
			}

			return resolveUnknown(key, operation);
		}

		if (reply.status === 409) {
			return {outcome: 'conflict', current: decodeEntry(reply.body as WireEntry).entry};
		}

		return {outcome: 'applied', revision: (reply.body as Readonly<{revision: number}>).revision};
	};

	const orUnavailable = async <Result>(work: () => Promise<Result>): Promise<Result> => {
		try {
			return await work();
		} catch (error) {
			throw unavailable(error instanceof Error ? error : new Error(String(error)));
		}
	};

	return {
		get: async (key) =>
			orUnavailable(async () => {
				const {entry} = await read(key);
				return entry;
			}),
		list: async (prefix) =>
			orUnavailable(async () => {
				const {body} = await call('list', `/v1/values?prefix=${encodeURIComponent(prefix)}`);
				return decodeChanges(body as WireChanges);
			}),
		async put(key, value, expectedRevision) {
			const operation = uuidv7();
			return write('put', key, expectedRevision, operation, encodeValue(operation, value));
		},
		remove: async (key, expectedRevision) => write('remove', key, expectedRevision, uuidv7()),
		watch: async (prefixes, afterRevision, waitMs, signal) =>
			orUnavailable(async () => {
				const query = new URLSearchParams({
					prefixes: prefixes.join(','),
					after: String(afterRevision),
					waitMs: String(waitMs),
				});
				const {body} = await call('watch', `/v1/watch?${query.toString()}`, {limitMs: waitMs + WATCH_GRACE_MS, signal});
				return decodeChanges(body as WireChanges);
			}),
	};
};
