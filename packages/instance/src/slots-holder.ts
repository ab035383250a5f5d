import {slotShardKey, type SlotShardRecord} from '@bergamotgauge/model';
import type {Replica} from '@bergamotgauge/store';

/** Shares lapse when neither the instance list nor the store has confirmed them for this long. */
export const SHARES_LAPSE_MS = 8000;

/** A release that was not followed by a write of the record for this long is reported to the owner as stuck. */
const RELEASE_STUCK_MS = 5000;

type Release = Readonly<{revision: number; limit: number; atMs: number}>;

export type ReleaseRequest = Readonly<{
	/** Revision of the record that the owner is about to replace. */
	revision: number;
	/** Requested lower share by endpoint. */
	targets: Readonly<Record<string, number>>;
}>;

/** Agreed limits by endpoint; an endpoint is missing when the holder has another revision of the record. */
export type ReleaseReply = Readonly<{limits: Readonly<Record<string, number>>}>;

/** The shares that this instance may use. */
export type SlotHolder = Readonly<{
	limitOf: (endpoint: string) => number;
	/** Agrees to lower limits that apply until a newer record is seen. */
	release: (request: ReleaseRequest) => ReleaseReply;
	/** Stops the use of all shares. */
	stop: () => void;
	/** Confirms the shares because the instance list names this instance. Lapsed shares are not restored, because the record may have changed since. */
	confirmByList: () => void;
	/** Confirms the shares, also lapsed ones, because the records in the replica were just read from the store. */
	confirmByStore: () => void;
	isLapsed: () => boolean;
	/** Shards with a release that was not followed by a write in time. */
	stuckShards: () => readonly string[];
}>;

export type SlotHolderOptions = Readonly<{
	/** Name of this instance's incarnation in the records. */
	holder: string;
	replica: Pick<Replica, 'get'>;
	/** Slots of an endpoint that are in use by this instance. */
	slotsInUseOf: (endpoint: string) => number;
}>;

/**
Creates the view of this instance's shares. A share is that of the newest record seen, capped by the limit that was agreed for the same revision.

@example
```ts
const holder = createSlotHolder({holder: 'q1/1700000000000', replica, slotsInUseOf: dispatcher.slotsInUse});
holder.limitOf('runner-1');
```
*/
export const createSlotHolder = ({holder, replica, slotsInUseOf}: SlotHolderOptions): SlotHolder => {
	const shardKeys = new Map<string, string>();
	const releases = new Map<string, Release>();
	// The monotonic clock also advances while the process is suspended.
	let confirmedMs = performance.now();
	let isStopped = false;

	const entryOf = (endpoint: string) => {
		let key = shardKeys.get(endpoint);
		if (key === undefined) {
			key = slotShardKey(endpoint);
			shardKeys.set(endpoint, key);
		}

		return replica.get(key);
	};

	const isLapsed = (): boolean => isStopped || performance.now() - confirmedMs > SHARES_LAPSE_MS;

	const agreedShareOf = (endpoint: string): number => {
		const {revision, value} = entryOf(endpoint);
		const shares = (value as SlotShardRecord | undefined)?.endpoints[endpoint]?.shares ?? {};
		const share = Object.hasOwn(shares, holder) ? shares[holder]! : 0;
		const release = releases.get(endpoint);
		return release?.revision === revision ? Math.min(share, release.limit) : share;
	};

	return {
		limitOf: (endpoint) => (isLapsed() ? 0 : agreedShareOf(endpoint)),
		release({revision, targets}) {
			const limits: Record<string, number> = {};
			for (const [endpoint, target] of Object.entries(targets)) {
				if (entryOf(endpoint).revision === revision) {
					const limit = Math.min(agreedShareOf(endpoint), Math.max(target, slotsInUseOf(endpoint)));
					releases.set(endpoint, {revision, limit, atMs: performance.now()});
					limits[endpoint] = limit;
				}
			}

			return {limits};
		},
		stop() {
			isStopped = true;
		},
		confirmByList() {
			if (!isLapsed()) {
				confirmedMs = performance.now();
			}
		},
		confirmByStore() {
			confirmedMs = performance.now();
		},
		isLapsed,
		stuckShards() {
			const stuck = [...releases].filter(
				([endpoint, {revision, atMs}]) =>
					entryOf(endpoint).revision === revision && performance.now() - atMs > RELEASE_STUCK_MS,
			);
			return [...new Set(stuck.map(([endpoint]) => shardKeys.get(endpoint)!))];
		},
	};
};
