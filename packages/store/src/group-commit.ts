import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import {
	CONFLICT_BACKOFF_MAX_MS,
	CONFLICT_BACKOFF_MIN_MS,
	GROUP_COMMIT_ATTEMPTS,
	GROUP_COMMIT_MAX_BATCH,
	GROUP_COMMIT_MAX_PENDING,
	STORE_RETRY_AFTER_MS,
} from './constants.js';
import type {Entry, Store, WriteResult} from './types.js';
import {encodeValue} from './value-codec.js';

/** A function that changes a value. If it throws, only this change is rejected. */
export type Change<Value, Result> = (value: Value) => Readonly<{value: Value; result: Result}>;

type PendingChange<Value> = Readonly<{
	change: Change<Value, unknown>;
	resolve: (result: unknown) => void;
	reject: (error: Error) => void;
}>;

export type GroupCommitOptions<Value> = Readonly<{
	store: Store;
	key: string;
	/** Initial value when the key does not exist. */
	empty: Value;
	/** Last known entry, used instead of a read. */
	known: () => Entry<unknown>;
	onWritten: (entry: Entry<unknown>) => void;
}>;

/** Combines concurrent changes of one key into few writes. */
export type GroupCommit<Value> = Readonly<{
	/** Resolves with the change's result once the change is stored. */
	submit: <Result>(change: Change<Value, Result>) => Promise<Result>;
}>;

type Applied<Value> = Readonly<{value: Value; settlers: ReadonlyArray<() => void>}>;

const applyAll = <Value>(start: Value, batch: ReadonlyArray<PendingChange<Value>>): Applied<Value> => {
	let value = start;
	const settlers: Array<() => void> = [];
	for (const {change, resolve, reject} of batch) {
		try {
			const applied = change(value);
			value = applied.value;
			settlers.push(() => {
				resolve(applied.result);
			});
		} catch (error) {
			settlers.push(() => {
				reject(error instanceof Error ? error : new Error(String(error)));
			});
		}
	}

	return {value, settlers};
};

const isTooLarge = (error: unknown): error is ServiceError =>
	error instanceof ServiceError && error.code === 'too-large';

const findSizeError = (value: unknown): ServiceError | undefined => {
	try {
		encodeValue([], value);
		return undefined;
	} catch (error) {
		if (isTooLarge(error)) {
			return error;
		}

		throw error;
	}
};

/** Applies the changes whose result is within the store's size limit and rejects the others, by bisecting the batch. A change that shrinks the value is accepted even when the value is full. */
const applyFitting = <Value>(start: Value, batch: ReadonlyArray<PendingChange<Value>>): Applied<Value> => {
	const all = applyAll(start, batch);
	const sizeError = all.value === start ? undefined : findSizeError(all.value);
	if (!sizeError) {
		return all;
	}

	if (batch.length === 1) {
		return {
			value: start,
			settlers: batch.map(({reject}) => () => {
				reject(sizeError);
			}),
		};
	}

	const middle = Math.ceil(batch.length / 2);
	const left = applyFitting(start, batch.slice(0, middle));
	const right = applyFitting(left.value, batch.slice(middle));
	return {value: right.value, settlers: [...left.settlers, ...right.settlers]};
};

const contentionError = (key: string): ServiceError =>
	new ServiceError(
		`write to ${key} abandoned: ${GROUP_COMMIT_ATTEMPTS} conflicting attempts or too many pending changes`,
		{
			code: 'overloaded',
			verdict: 'not-run',
			retryAfterMs: STORE_RETRY_AFTER_MS,
		},
	);

/**
Creates the writer of one key. Changes that arrive during a write are combined into the next one. A change that would make the value too large is rejected on its own.

@example
```ts
const shard = createGroupCommit({store, key: 'jobs/03', empty: {jobs: {}}, known: () => replica.get('jobs/03'), onWritten});
await shard.submit((value) => ({value: withJob(value, job), result: job.id}));
```

@throws {ServiceError} `store-unavailable` with verdict `not-run`, or `may-have-run` when the effect of the write is unknown; `overloaded` on too many conflicts or pending changes.
*/
export const createGroupCommit = <Value>(options: GroupCommitOptions<Value>): GroupCommit<Value> => {
	const {store, key, empty, known, onWritten} = options;
	let pending: Array<PendingChange<Value>> = [];
	let isWriting = false;

	const putFitting = async (
		start: Value,
		batch: ReadonlyArray<PendingChange<Value>>,
		revision: number,
	): Promise<Readonly<{applied: Applied<Value>; result: WriteResult | undefined}>> => {
		const applied = applyAll(start, batch);
		if (applied.value === start) {
			return {applied, result: undefined};
		}

		try {
			return {applied, result: await store.put(key, applied.value, revision)};
		} catch (error) {
			if (!isTooLarge(error)) {
				throw error;
			}
		}

		const fitting = applyFitting(start, batch);
		const result = fitting.value === start ? undefined : await store.put(key, fitting.value, revision);
		return {applied: fitting, result};
	};

	const commit = async (batch: ReadonlyArray<PendingChange<Value>>): Promise<Applied<Value>> => {
		let current = known();
		for (let attempt = 0; attempt < GROUP_COMMIT_ATTEMPTS; attempt += 1) {
			const start = (current.value ?? empty) as Value;
			const {applied, result} = await putFitting(start, batch, current.revision);
			if (!result) {
				return applied;
			}

			if (result.outcome === 'applied') {
				onWritten({key, revision: result.revision, value: applied.value});
				return applied;
			}

			if (result.outcome === 'unknown') {
				throw new ServiceError(`effect of the write to ${key} is unknown`, {
					code: 'store-unavailable',
					verdict: 'may-have-run',
					retryAfterMs: STORE_RETRY_AFTER_MS,
				});
			}

			current = result.current;
			// Without random backoff the writers of one key would conflict again at the next attempt.
			await sleep(Math.random() * Math.min(CONFLICT_BACKOFF_MAX_MS, CONFLICT_BACKOFF_MIN_MS * 2 ** attempt));
		}

		throw contentionError(key);
	};

	const writePending = async () => {
		isWriting = true;
		while (pending.length > 0) {
			const batch = pending.slice(0, GROUP_COMMIT_MAX_BATCH);
			pending = pending.slice(GROUP_COMMIT_MAX_BATCH);
			try {
				const {settlers} = await commit(batch);
				for (const settle of settlers) {
					settle();
				}
			} catch (error) {
				for (const {reject} of batch) {
					reject(error instanceof Error ? error : new Error(String(error)));
				}
			}
		}

		isWriting = false;
	};

	return {
		async submit<Result>(change: Change<Value, Result>) {
			if (pending.length >= GROUP_COMMIT_MAX_PENDING) {
				throw contentionError(key);
			}

			return new Promise<Result>((resolve, reject) => {
				pending.push({
					change,
					resolve(result) {
						resolve(result as Result);
					},
					reject,
				});
				if (!isWriting) {
					void writePending();
				}
			});
		},
	};
};
