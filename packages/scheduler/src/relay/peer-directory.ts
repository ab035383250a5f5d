import {Buffer} from 'node:buffer';
import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {ROOT_PREFIX} from '../constants.js';
import {
	PEER_FIRST_REFRESH_MS,
	PEER_REFRESH_MS,
	PEER_RETRY_MAX_MS,
	PEER_RETRY_MIN_MS,
	PEER_TTL_MS,
} from './constants.js';
import {rankPeers} from './rank-peers.js';
import type {PeerRecord} from './types.js';

export const INSTANCES_PREFIX = `${ROOT_PREFIX}instances/`;

/** The instances that the store lists, as candidates for relayed requests. */
export type PeerDirectory = Readonly<{
	/** Peers in the order in which they are tried. */
	candidates: () => readonly PeerRecord[];
	/** Registers the instance and reads the records of the others until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
}>;

export type PeerDirectoryOptions = Readonly<{store: KeyValueStore; own: PeerRecord; log: Log}>;

/** Reads a record; `undefined` for one that another version wrote in another form. */
const decodeRecord = ({key, value}: StoredItem): PeerRecord | undefined => {
	try {
		const record = JSON.parse(Buffer.from(value).toString('utf8')) as Partial<PeerRecord> | undefined;
		const {address, availabilityZone, cores} = record ?? {};
		return typeof address === 'string' && typeof availabilityZone === 'string' && typeof cores === 'number' && cores > 0
			? {id: key.slice(INSTANCES_PREFIX.length), address, availabilityZone, cores}
			: undefined;
	} catch {
		return undefined;
	}
};

/**
Creates the directory of an instance. The records are kept by leases, so that no request needs a store call to find a peer.

@example
```ts
const directory = createPeerDirectory({store, own: {id, address, availabilityZone, cores}, log});
lifecycle.run('peers', directory.run);
```
*/
export const createPeerDirectory = ({store, own, log}: PeerDirectoryOptions): PeerDirectory => {
	let candidates: readonly PeerRecord[] = [];

	const register = async (): Promise<number> => {
		const {id, ...record} = own;
		const {lease} = await store.grantLease(PEER_TTL_MS);
		const value = Buffer.from(JSON.stringify(record));
		await store.transact({expected: [], writes: [{key: INSTANCES_PREFIX + id, value, lease}]});
		log.info('instance-registered', {address: own.address, zone: own.availabilityZone});
		return lease;
	};

	const refresh = async () => {
		const {items} = await store.list(INSTANCES_PREFIX);
		const records = items.map((item) => decodeRecord(item)).filter((record) => record !== undefined);
		candidates = rankPeers(own, records);
	};

	return {
		candidates: () => candidates,
		async run(signal) {
			const backoff = createBackoff({minMs: PEER_RETRY_MIN_MS, maxMs: PEER_RETRY_MAX_MS});
			let lease: number | undefined;
			let intervalMs = PEER_FIRST_REFRESH_MS;
			while (!signal.aborted) {
				try {
					if (lease === undefined || !(await store.renewLease(lease))) {
						lease = undefined;
						lease = await register();
					}

					await refresh();
					backoff.reset();
					await sleep(intervalMs, signal);
					intervalMs = PEER_REFRESH_MS;
				} catch (error) {
					log.debug('peers-not-read', {error: toServiceError(error, 'may-have-run').message});
					await sleep(backoff.next(), signal);
				}
			}
		},
	};
};
