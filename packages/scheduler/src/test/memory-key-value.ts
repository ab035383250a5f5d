import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, type Verdict} from '@bergamotgauge/model';
import type {KeyChanges, KeyValueStore, StoredItem, Transaction, TransactionResult} from '@bergamotgauge/store';
import Emittery from 'emittery';
import {createMemoryItems} from './memory-items.js';
import {createStoreFaults, type StoreFaults} from './store-faults.js';

/** An in-memory store with revisions, leases, watches and fault injection. */
export type MemoryKeyValue = KeyValueStore &
	Readonly<{
		faults: StoreFaults;
		items: () => readonly StoredItem[];
		/** Silences the watches of a prefix that are in progress, as when their connections die; new ones work. */
		silenceWatches: (prefix: string) => void;
		/** Applies the delayed transactions whose preconditions still hold. */
		release: () => void;
		/** Pauses the expiry of leases, as happens while the store is unavailable. */
		pauseLeases: () => void;
		resumeLeases: () => void;
		/** Writes unconditionally, as an operator or a worker does. */
		put: (key: string, value: Uint8Array) => void;
		remove: (key: string) => void;
	}>;

/** Client timeout of a call without a response. */
const CALL_TIMEOUT_MS = 800;

/** Added to the wait of a watch to give the client timeout of a watch without a response. */
const WATCH_TIMEOUT_MARGIN_MS = 700;

const unavailable = (verdict: Verdict): ServiceError =>
	new ServiceError('the store does not answer', {code: 'store-unavailable', verdict});

/** Creates an empty store; leases use the clock of the runtime, which tests may fake. */
export const createMemoryKeyValue = (): MemoryKeyValue => {
	const items = createMemoryItems();
	const changed = new Emittery<{changed: undefined}>();
	/** Watches in progress, by the controllers that silence them. */
	const openWatches = new Map<AbortController, string>();
	const leases = new Map<number, {ttlMs: number; timer: NodeJS.Timeout}>();
	const delayed: Transaction[] = [];
	const faults = createStoreFaults();
	let nextLease = 1;
	let compactedRevision = 0;

	const announce = () => {
		void changed.emit('changed');
	};

	const revokeLease = (lease: number) => {
		const entry = leases.get(lease);
		if (!entry) {
			return;
		}

		clearTimeout(entry.timer);
		leases.delete(lease);
		items.removeLease(lease);
		announce();
	};

	const startTimer = (lease: number, ttlMs: number): NodeJS.Timeout =>
		setTimeout(() => {
			const entry = leases.get(lease);
			if (entry && faults.isDown && !faults.isLapsing) {
				// Leases are paused while the store is unavailable.
				entry.timer = startTimer(lease, ttlMs);
				return;
			}

			revokeLease(lease);
		}, ttlMs);

	const apply = (transaction: Transaction): TransactionResult => {
		const result = items.apply(transaction, (lease) => leases.has(lease));
		if (result.outcome === 'applied') {
			announce();
		}

		return result;
	};

	/** Throws for a transaction that the store will never take, as it is. */
	const requireAcceptable = ({writes}: Transaction) => {
		if (
			writes.some(
				({key, value}) =>
					value.length > faults.valueBytes || [...faults.refusedKeys].some((prefix) => key.startsWith(prefix)),
			)
		) {
			throw new ServiceError('the store refused a transaction with status 400', {
				code: 'bad-request',
				verdict: 'not-run',
			});
		}
	};

	const requireStore = () => {
		if (faults.isDown) {
			throw unavailable('not-run');
		}
	};

	/** Lists as of now, and takes the time of a slow listing for the response. */
	const respondWithListing = async (prefix: string): Promise<KeyChanges> => {
		const listing = items.list(prefix);
		const slowMs = faults.slowListings.get(prefix);
		if (slowMs !== undefined) {
			await sleep(slowMs);
		}

		return listing;
	};

	/** Resolves at the next change, after `limitMs`, or when one of the signals aborts. */
	const waitForChange = async (limitMs: number, signals: readonly AbortSignal[]) =>
		new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				stopListening();
				for (const signal of signals) {
					signal.removeEventListener('abort', finish);
				}

				resolve();
			};

			const timer = setTimeout(finish, limitMs);
			const stopListening = changed.on('changed', finish);
			for (const signal of signals) {
				signal.addEventListener('abort', finish);
			}
		});

	return {
		faults,
		items: items.all,
		silenceWatches(prefix) {
			for (const [silenced, watched] of openWatches) {
				if (watched === prefix) {
					silenced.abort();
				}
			}
		},
		release() {
			for (const transaction of delayed.splice(0)) {
				apply(transaction);
			}
		},
		pauseLeases() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}
		},
		resumeLeases() {
			for (const [lease, entry] of leases) {
				entry.timer = startTimer(lease, entry.ttlMs);
			}
		},
		put(key, value) {
			apply({expected: [], writes: [{key, value}]});
		},
		remove(key) {
			apply({expected: [], writes: [], removals: [key]});
		},
		async get(key) {
			requireStore();
			return items.get(key);
		},
		async list(prefix) {
			requireStore();
			return respondWithListing(prefix);
		},
		async watch(prefix, afterRevision, waitMs, signal) {
			requireStore();
			if (faults.isCompacted) {
				faults.isCompacted = false;
				compactedRevision = items.revision();
			}

			if (afterRevision < compactedRevision) {
				return respondWithListing(prefix);
			}

			const endMs = performance.now() + waitMs;
			const silenced = new AbortController();
			openWatches.set(silenced, prefix);
			try {
				for (;;) {
					if (silenced.signal.aborted || faults.silentWatches.has(prefix)) {
						await sleep(endMs + WATCH_TIMEOUT_MARGIN_MS - performance.now(), signal);
						throw unavailable('may-have-run');
					}

					const changes = items.changesAfter(prefix, afterRevision);
					const isOver = changes.items.length + changes.removed.length > 0 || performance.now() >= endMs;
					if (isOver || signal.aborted) {
						return changes;
					}

					await waitForChange(endMs - performance.now(), [signal, silenced.signal]);
					requireStore();
				}
			} finally {
				openWatches.delete(silenced);
			}
		},
		async transact(transaction) {
			requireStore();
			requireAcceptable(transaction);
			if (faults.delayed > 0) {
				faults.delayed -= 1;
				delayed.push(transaction);
				throw unavailable('may-have-run');
			}

			const result = apply(transaction);
			if (faults.lostResponses > 0) {
				faults.lostResponses -= 1;
				throw unavailable('may-have-run');
			}

			return result;
		},
		async grantLease(ttlMs) {
			requireStore();
			const lease = nextLease;
			nextLease += 1;
			leases.set(lease, {ttlMs, timer: startTimer(lease, ttlMs)});
			return {lease, ttlMs};
		},
		async renewLease(lease) {
			requireStore();
			if (faults.silentRenewals > 0) {
				faults.silentRenewals -= 1;
				await sleep(CALL_TIMEOUT_MS);
				throw unavailable('may-have-run');
			}

			const entry = leases.get(lease);
			if (!entry) {
				return false;
			}

			clearTimeout(entry.timer);
			entry.timer = startTimer(lease, entry.ttlMs);
			return true;
		},
		async revokeLease(lease) {
			requireStore();
			revokeLease(lease);
		},
	};
};
