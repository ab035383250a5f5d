import {Buffer} from 'node:buffer';
import {ServiceError} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {v7 as uuidv7} from 'uuid';
import {RESOLVE_DEADLINE_MS, STORE_DEADLINE_MS, WATCH_GRACE_MS} from './constants.js';
import {createOperationHistory, extendOperations, type OperationHistory} from './operation-history.js';
import {createRetryDelays, createTransport, storeUnavailableError, type StoreResponse} from './transport.js';
import type {Changes, Entry, Operation, Store, WriteResult} from './types.js';
import {decodeValue, encodeValue} from './value-codec.js';

type WireEntry = Readonly<{key: string; revision: number; value: string | undefined}>;

type WireChanges = Readonly<{revision: number; entries: readonly WireEntry[]; compacted?: boolean}>;

export type StoreClientOptions = Readonly<{
	/** Base URL of the store. */
	url: string;
	metrics: Metrics;
	deadlineMs?: number;
	history?: OperationHistory;
}>;

type Write = Readonly<{
	kind: 'put' | 'remove';
	key: string;
	operation: Operation;
	operations: readonly Operation[];
	body: Uint8Array;
}>;

/** Result of one attempt; `undefined` when its effect is unknown. */
type AttemptResult = WriteResult | undefined;

const asError = (thrown: unknown): Error => (thrown instanceof Error ? thrown : new Error(String(thrown)));

const isConnectFailure = (error: unknown): boolean =>
	error instanceof Error &&
	'code' in error &&
	(error.code === 'ECONNREFUSED' || error.code === 'UND_ERR_CONNECT_TIMEOUT');

/**
Infers the outcome of a write from the entry read afterwards. At most one operation succeeds on an expected revision, so a different operation on the same revision proves that this one was not applied. Returns `undefined` when the entry's history has no operation on that revision.
*/
const inferOutcome = ({operation}: Write, found: Entry<unknown>): AttemptResult => {
	const operations = found.operations ?? [];
	const index = operations.findIndex(({expectedRevision}) => expectedRevision === operation.expectedRevision);
	if (index === -1) {
		return undefined;
	}

	// The revision that this operation produced is the expected revision of the next one.
	return operations[index]?.id === operation.id
		? {outcome: 'applied', revision: operations[index - 1]?.expectedRevision ?? found.revision}
		: {outcome: 'conflict', current: found};
};

/**
Creates a client of the platform's key-value store.

@example
```ts
const store = createStoreClient({url: 'http://10.0.0.5:7000', metrics});
const result = await store.put('racks/r1', record, entry.revision);
```

Reads throw `store-unavailable` on failure. A write whose effect is unknown is resolved by reading the key back and looking for its operation id and, while the key is unchanged, by repeating the identical compare-and-swap; the outcome is `unknown` only when that fails too. `remove` stores a tombstone, so that a key's revision never returns to 0 and a repeated creation cannot undo a removal.
*/
export const createStoreClient = (options: StoreClientOptions): Store => {
	const {url, metrics, deadlineMs = STORE_DEADLINE_MS, history = createOperationHistory()} = options;
	const transport = createTransport({url, metrics, deadlineMs});

	const decodeEntry = (wire: WireEntry): Entry<unknown> => {
		if (wire.value === undefined) {
			return {key: wire.key, revision: wire.revision, value: undefined};
		}

		const envelope = decodeValue(Buffer.from(wire.value, 'base64'));
		const entry = {
			key: wire.key,
			revision: wire.revision,
			value: envelope.data,
			operations: envelope.operations ?? [],
		};
		history.observe(entry);
		return entry;
	};

	const decodeChanges = ({status, body}: StoreResponse): Changes => {
		if (status !== 200) {
			throw new Error(`status ${status}`);
		}

		const wire = body as WireChanges;
		return {
			revision: wire.revision,
			entries: wire.entries.map((entry) => decodeEntry(entry)),
			compacted: wire.compacted ?? false,
		};
	};

	const decodeRead = (key: string, {status, body}: StoreResponse): Entry<unknown> => {
		if (status !== 200 && status !== 404) {
			throw new Error(`status ${status}`);
		}

		return status === 404 ? {key, revision: 0, value: undefined} : decodeEntry(body as WireEntry);
	};

	const pathOf = (key: string): string => `/v1/values/${encodeURIComponent(key)}`;

	const sendWrite = async (write: Write): Promise<AttemptResult> => {
		const {kind, key, operation, body} = write;
		const path = `${pathOf(key)}?expectedRevision=${operation.expectedRevision}`;
		const response = await transport.send(kind, path, {method: 'PUT', body});
		if (response.status === 200) {
			return {outcome: 'applied', revision: (response.body as Readonly<{revision: number}>).revision};
		}

		if (response.status === 409) {
			const current = decodeEntry(response.body as WireEntry);
			// The key may have been changed by an earlier attempt of the same write.
			return inferOutcome(write, current) ?? {outcome: 'conflict', current};
		}

		const code = response.status === 413 ? 'too-large' : 'internal';
		throw new ServiceError(`store rejected the write to ${key} with status ${response.status}`, {
			code,
			verdict: 'not-run',
		});
	};

	const resolveUnknownWrite = async (write: Write): Promise<WriteResult> => {
		const {key, operation} = write;
		const delays = createRetryDelays();
		const deadline = Date.now() + RESOLVE_DEADLINE_MS;
		while (Date.now() < deadline && (await transport.acquireRetry(delays.next()))) {
			try {
				const found = decodeRead(key, await transport.send('get', pathOf(key)));
				if (found.revision !== operation.expectedRevision) {
					return inferOutcome(write, found) ?? {outcome: 'unknown'};
				}

				const attempt = await sendWrite(write);
				// If the conflicting entry's history has no operation on this revision, an earlier attempt may have been applied.
				return attempt?.outcome === 'conflict' && !inferOutcome(write, attempt.current)
					? {outcome: 'unknown'}
					: attempt!;
			} catch (error) {
				metrics.count('store_resolve_failures_total', {key, error: asError(error).name});
			}
		}

		return {outcome: 'unknown'};
	};

	const executeWrite = async (write: Write): Promise<WriteResult> => {
		try {
			if (transport.admit()) {
				await transport.send('get', pathOf(write.key));
			}
		} catch (error) {
			throw error instanceof ServiceError ? error : storeUnavailableError(asError(error));
		}

		try {
			return (await sendWrite(write)) ?? (await resolveUnknownWrite(write));
		} catch (error) {
			if (error instanceof ServiceError) {
				throw error;
			}

			if (isConnectFailure(error)) {
				throw storeUnavailableError(asError(error));
			}

			return resolveUnknownWrite(write);
		}
	};

	const write = async (kind: Write['kind'], key: string, value: unknown, expectedRevision: number) => {
		const operation: Operation = {id: uuidv7(), expectedRevision};
		const operations = extendOperations(history.operationsUpTo(key, expectedRevision), operation);
		const result = await executeWrite({kind, key, operation, operations, body: encodeValue(operations, value)});
		metrics.count('store_writes_total', {outcome: result.outcome});
		if (result.outcome === 'applied') {
			history.observe({key, revision: result.revision, value, operations});
		}

		return result;
	};

	const withUnavailableError = async <Result>(work: () => Promise<Result>): Promise<Result> => {
		try {
			return await work();
		} catch (error) {
			throw error instanceof ServiceError ? error : storeUnavailableError(asError(error));
		}
	};

	return {
		get: async (key) => withUnavailableError(async () => decodeRead(key, await transport.read('get', pathOf(key)))),
		list: async (prefix) =>
			withUnavailableError(async () =>
				decodeChanges(await transport.read('list', `/v1/values?prefix=${encodeURIComponent(prefix)}`)),
			),
		put: async (key, value, expectedRevision) => write('put', key, value, expectedRevision),
		remove: async (key, expectedRevision) => write('remove', key, undefined, expectedRevision),
		watch: async (prefixes, afterRevision, waitMs, signal) =>
			withUnavailableError(async () => {
				// The circuit breaker's probe must return immediately; the next watch waits again.
				const effectiveWaitMs = transport.admit() ? 0 : waitMs;
				const query = new URLSearchParams({
					prefixes: prefixes.join(','),
					after: String(afterRevision),
					waitMs: String(effectiveWaitMs),
				});
				const path = `/v1/watch?${query.toString()}`;
				return decodeChanges(
					await transport.send('watch', path, {timeoutMs: effectiveWaitMs + WATCH_GRACE_MS, signal}),
				);
			}),
	};
};
