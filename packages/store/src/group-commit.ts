import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import {
	CONFLICT_PAUSE_MAX_MS,
	CONFLICT_PAUSE_MIN_MS,
	GROUP_COMMIT_ATTEMPTS,
	GROUP_COMMIT_MAX_BATCH,
	GROUP_COMMIT_MAX_WAITING,
	STORE_RETRY_AFTER_MS,
} from './constants.js';
import type {Entry, Store, WriteResult} from './types.js';
import {encodeValue} from './value-codec.js';

/** A change of a value; may throw to refuse only itself. */
export type Change<Value, Result> = (value: Value) => Readonly<{value: Value; result: Result}>;

type Waiting<Value> = Readonly<{
	change: Change<Value, unknown>;
	resolve: (result: unknown) => void;
	reject: (error: Error) => void;
}>;

export type GroupCommitOptions<Value> = Readonly<{
	store: Store;
	key: string;
	/** Value to start from when the key does not exist. */
	empty: Value;
	/** Last entry known, which saves a read. */
	known: () => Entry<unknown>;
	onWritten: (entry: Entry<unknown>) => void;
}>;

/** Merges concurrent changes of one key into few writes. */
export type GroupCommit<Value> = Readonly<{
	/** Resolves when the change is stored. */
	submit: <Result>(change: Change<Value, Result>) => Promise<Result>;
}>;

type Applied<Value> = Readonly<{value: Value; settled: ReadonlyArray<() => void>}>;

const applyAll = <Value>(start: Value, batch: ReadonlyArray<Waiting<Value>>): Applied<Value> => {
	let value = start;
	const settled: Array<() => void> = [];
	for (const {change, resolve, reject} of batch) {
		try {
			const applied = change(value);
			value = applied.value;
			settled.push(() => {
				resolve(applied.result);
			});
		} catch (error) {
			settled.push(() => {
				reject(error instanceof Error ? error : new Error(String(error)));
			});
		}
	}

	return {value, settled};
};

const isTooLarge = (error: unknown): error is ServiceError =>
	error instanceof ServiceError && error.code === 'too-large';

const sizeFault = (value: unknown): ServiceError | undefined => {
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

/** Applies the changes whose result fits the store and refuses the others. A change that shrinks the value fits also when the value is full. */
const applyFitting = <Value>(start: Value, batch: ReadonlyArray<Waiting<Value>>): Applied<Value> => {
	const all = applyAll(start, batch);
	const fault = all.value === start ? undefined : sizeFault(all.value);
	if (!fault) {
		return all;
	}

	if (batch.length === 1) {
		return {
			value: start,
			settled: batch.map(({reject}) => () => {
				reject(fault);
			}),
		};
	}

	const middle = Math.ceil(batch.length / 2);
	const left = applyFitting(start, batch.slice(0, middle));
	const right = applyFitting(left.value, batch.slice(middle));
	return {value: right.value, settled: [...left.settled, ...right.settled]};
};

const contended = (key: string): ServiceError =>
	new ServiceError(`${key} changed ${GROUP_COMMIT_ATTEMPTS} times during the write`, {
		code: 'overloaded',
		verdict: 'not-run',
		retryAfterMs: STORE_RETRY_AFTER_MS,
	});

/**
Creates the writer of one key. Changes that arrive during a write go into the next one together. A change that would make the value too large is refused alone.

@example
```ts
const shard = createGroupCommit({store, key: 'jobs/03', empty: {jobs: {}}, known: () => replica.get('jobs/03'), onWritten});
await shard.submit((value) => ({value: withJob(value, job), result: job.id}));
```

@throws {ServiceError} `store-unavailable` with verdict `not-run`, or `may-have-run` when the effect of the write is not known.
*/
export const createGroupCommit = <Value>(options: GroupCommitOptions<Value>): GroupCommit<Value> => {
	const {store, key, empty, known, onWritten} = options;
	let waiting: Array<Waiting<Value>> = [];
	let isWriting = false;

	const putFitting = async (
		start: Value,
		batch: ReadonlyArray<Waiting<Value>>,
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

	const commit = async (batch: ReadonlyArray<Waiting<Value>>): Promise<Applied<Value>> => {
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
				throw new ServiceError(`the effect of the write to ${key} is not known`, {
					code: 'store-unavailable',
					verdict: 'may-have-run',
					retryAfterMs: STORE_RETRY_AFTER_MS,
				});
			}

			current = result.current;
			// Without a random pause the writers of one key meet again at the next attempt.
			await sleep(Math.random() * Math.min(CONFLICT_PAUSE_MAX_MS, CONFLICT_PAUSE_MIN_MS * 2 ** attempt));
		}

		throw contended(key);
	};

	const drain = async () => {
		isWriting = true;
		while (waiting.length > 0) {
			const batch = waiting.slice(0, GROUP_COMMIT_MAX_BATCH);
			waiting = waiting.slice(GROUP_COMMIT_MAX_BATCH);
			try {
				const {settled} = await commit(batch);
				for (const settle of settled) {
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
			if (waiting.length >= GROUP_COMMIT_MAX_WAITING) {
				throw contended(key);
			}

			return new Promise<Result>((resolve, reject) => {
				waiting.push({
					change,
					resolve(result) {
						resolve(result as Result);
					},
					reject,
				});
				if (!isWriting) {
					void drain();
				}
			});
		},
	};
};
