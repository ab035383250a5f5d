import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {BUNDLE_KEY} from '@bergamotgauge/model';
import {ANTI_ENTROPY_INTERVAL_MS, rankMembers, type Handlers} from '@bergamotgauge/peer';
import {listAll, runWatcher, type Changes, type Entry, type OperationHistory} from '@bergamotgauge/store';
import {encode} from 'cbor-x';
import {generationOf} from './bundle-merge.js';
import {
	CHANGES_PAGE_BYTES,
	INITIAL_SNAPSHOT_RETRY_MAX_MS,
	INITIAL_SNAPSHOT_RETRY_MIN_MS,
	JOIN_PEERS,
	JOIN_POLL_MS,
	JOIN_WAIT_MS,
	PUSH_FAN_OUT,
	PUSH_GRACE_MS,
	REPLICATED_PREFIXES,
	STANDBY_WATCH_PAUSE_MS,
	WATCH_PAUSE_MS,
	WATCHER_COUNT,
} from './constants.js';
import type {Context} from './context.js';

/** A message that each receiver forwards to some of the ids in `relay`. */
type Relayed = Readonly<{origin: string; relay: readonly string[]}>;

type Push = Relayed & Readonly<{afterRevision: number; changes: Changes}>;

type Announcement = Relayed & Readonly<{revision: number}>;

type ChangesRequest = Readonly<{afterRevision: number; generation: number; cursor?: number}>;

type ChangesPage = Changes & Readonly<{hasMore: boolean; bundle?: Entry<unknown>}>;

/** Keeps the replicas of all instances consistent with the store and with each other. */
export type Replication = Readonly<{
	/** Loads the initial snapshot from the store or a peer, then follows the store by watch or through the other instances. */
	start: () => Promise<void>;
	/** Resolves when no alive peer is known to have a later configuration. */
	awaitGeneration: (signal: AbortSignal) => Promise<void>;
	/** Pushes a new configuration that this instance wrote to the others; they receive all other values from the watchers. */
	pushBundle: (entry: Entry<unknown>) => void;
	handlers: Handlers;
}>;

/**
Returns one page of a list of changes. Entries that share a revision stay together, because the next page starts after a revision.

@example
```ts
const page = pageOf(replica.changesAfter(7), 0, 4_000_000);
```
*/
export const pageOf = (changes: Changes, cursor: number, limitBytes: number): ChangesPage => {
	const entries = changes.entries
		.filter((entry) => entry.revision > cursor)
		.toSorted((a, b) => a.revision - b.revision);
	let bytes = 0;
	const end = entries.findIndex((entry, index) => {
		const isFull = bytes > limitBytes && entry.revision !== entries[index - 1]?.revision;
		bytes += encode(entry.value).length;
		return isFull;
	});
	return end === -1
		? {...changes, entries, hasMore: false}
		: {...changes, entries: entries.slice(0, end), revision: entries[end - 1]!.revision, hasMore: true};
};

const splitRelay = (ids: readonly string[]): ReadonlyArray<readonly string[]> => {
	const size = Math.ceil(ids.length / PUSH_FAN_OUT);
	return Array.from({length: Math.min(PUSH_FAN_OUT, ids.length)}, (_, index) =>
		ids.slice(index * size, (index + 1) * size),
	).filter((part) => part.length > 0);
};

/**
Creates the replication of one instance.

@example
```ts
const replication = createReplication(context, history);
await replication.start();
```
*/
export const createReplication = (context: Context, history: OperationHistory): Replication => {
	const {lifecycle, log, membership, metrics, replica, settings, store} = context;

	const forward = (method: 'changed' | 'revision', message: Relayed) => {
		for (const [first, ...rest] of splitRelay(message.relay)) {
			membership.link(first!)?.notify(method, {...message, relay: rest});
		}
	};

	const nonDeadPeers = (): readonly string[] =>
		membership
			.members()
			.filter(({health}) => health !== 'dead')
			.map(({id}) => id);

	/** Order of the receivers. It differs by origin, so that a stopped instance does not cut off the same subtree of every push. */
	const relayOrder = () => rankMembers(settings.id, nonDeadPeers());

	const pull = async (peer: string): Promise<void> => {
		const link = membership.link(peer);
		if (!link) {
			return;
		}

		const afterRevision = replica.revision();
		const pages: ChangesPage[] = [];
		do {
			const request: ChangesRequest = {
				afterRevision,
				generation: generationOf(replica.get(BUNDLE_KEY)),
				...(pages.length > 0 && {cursor: pages.at(-1)!.revision}),
			};
			try {
				pages.push((await link.call('changes', request)) as ChangesPage);
			} catch (error) {
				link.reset('no response to changes');
				throw error;
			}
		} while (pages.at(-1)!.hasMore);

		replica.applyFrom(afterRevision, {
			revision: pages.at(-1)!.revision,
			entries: pages.flatMap(({entries}) => entries),
			compacted: pages[0]!.compacted,
		});
		const {bundle} = pages.at(-1)!;
		if (bundle) {
			replica.applyEntry(bundle);
		}
	};

	const tryPull = async (peer: string): Promise<boolean> => {
		try {
			await pull(peer);
			return true;
		} catch (error) {
			metrics.count('anti_entropy_failures_total');
			log.debug('anti-entropy-failed', {peer, error: String(error)});
			return false;
		}
	};

	let targetRevision = 0;
	let isCatchingUp = false;

	/** Fetches the changes that a push did not deliver; pushes that arrive meanwhile share the call. */
	const catchUp = async (origin: string, revision: number) => {
		targetRevision = Math.max(targetRevision, revision);
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await sleep(PUSH_GRACE_MS * (0.5 + Math.random()), lifecycle.signal);
		if (replica.revision() < targetRevision && !lifecycle.signal.aborted) {
			await tryPull(origin);
		}

		isCatchingUp = false;
	};

	const watchRank = (): number => {
		const owners = membership.owners();
		return owners.length === 0 ? 0 : rankMembers('watch', owners).indexOf(settings.id);
	};

	const isWatching = () => {
		const rank = watchRank();
		return rank >= 0 && rank < WATCHER_COUNT;
	};

	const pushChanges = (changes: Changes, afterRevision: number) => {
		if (changes.entries.length === 0) {
			return;
		}

		const relayed: Relayed = {origin: settings.id, relay: relayOrder()};
		// The standby watcher announces only the revision: an instance fetches the values if it missed the push of the primary.
		if (watchRank() === 0) {
			forward('changed', {...relayed, afterRevision, changes} as Push);
		} else {
			forward('revision', {...relayed, revision: replica.revision()} as Announcement);
		}
	};

	const runAntiEntropy = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			await sleep(ANTI_ENTROPY_INTERVAL_MS * (0.75 + Math.random() / 2), signal);
			const peers = membership.members().filter(({health}) => health === 'alive' || health === 'suspect');
			const peer = peers[Math.floor(Math.random() * peers.length)];
			if (peer && !signal.aborted) {
				await tryPull(peer.id);
			}
		}
	};

	const loadInitialSnapshot = async (signal: AbortSignal) => {
		const backoff = createBackoff({minMs: INITIAL_SNAPSHOT_RETRY_MIN_MS, maxMs: INITIAL_SNAPSHOT_RETRY_MAX_MS});
		while (!signal.aborted) {
			try {
				replica.apply(await listAll(store, REPLICATED_PREFIXES));
				log.info('first-copy', {from: 'store', revision: replica.revision()});
				return;
			} catch (error) {
				log.warn('first-copy-failed', {error: String(error)});
			}

			for (const peer of nonDeadPeers()) {
				if ((await tryPull(peer)) && replica.revision() > 0) {
					log.info('first-copy', {from: peer, revision: replica.revision()});
					return;
				}
			}

			await sleep(backoff.next(), signal);
		}
	};

	return {
		pushBundle(entry) {
			if (entry.key === BUNDLE_KEY) {
				const changes: Changes = {revision: 0, entries: [history.annotate(entry)], compacted: false};
				// Earlier values may be missing at the receiver, so this push does not advance the revision of its replica.
				const push: Push = {origin: settings.id, relay: relayOrder(), afterRevision: Number.MAX_SAFE_INTEGER, changes};
				forward('changed', push);
			}
		},
		async start() {
			await loadInitialSnapshot(lifecycle.signal);
			lifecycle.run('watch', async (signal) =>
				runWatcher({
					store,
					replica,
					prefixes: REPLICATED_PREFIXES,
					isWatching,
					onChanges: pushChanges,
					pauseMs: () => (watchRank() === 0 ? WATCH_PAUSE_MS : STANDBY_WATCH_PAUSE_MS),
					onFailure(error) {
						metrics.count('watch_failures_total');
						log.warn('watch-failed', {error: error.message});
					},
					signal,
				}),
			);
			lifecycle.run('anti-entropy', runAntiEntropy);
		},
		async awaitGeneration(signal) {
			const joinDeadlineMs = Date.now() + JOIN_WAIT_MS;
			while (!signal.aborted) {
				const members = membership.members();
				const alive = members.filter(({health}) => health === 'alive');
				const ahead = alive.find(({heartbeat}) => (heartbeat?.generation ?? 0) > generationOf(replica.get(BUNDLE_KEY)));
				const isJoined = alive.length >= Math.min(JOIN_PEERS, members.length) || Date.now() >= joinDeadlineMs;
				if (ahead) {
					await tryPull(ahead.id);
				} else if (isJoined) {
					return;
				}

				await sleep(JOIN_POLL_MS, signal);
			}
		},
		handlers: {
			requests: {
				changes(body): ChangesPage {
					const {afterRevision, generation, cursor = 0} = body as ChangesRequest;
					const bundle = replica.get(BUNDLE_KEY);
					return {
						...pageOf(replica.changesAfter(afterRevision), cursor, CHANGES_PAGE_BYTES),
						...(generationOf(bundle) > generation && {bundle}),
					};
				},
				'config.current': () => replica.get(BUNDLE_KEY),
			},
			events: {
				changed(body) {
					const push = body as Push;
					forward('changed', push);
					if (!replica.applyFrom(push.afterRevision, push.changes) && push.changes.revision > 0) {
						void catchUp(push.origin, push.changes.revision);
					}
				},
				revision(body) {
					const announcement = body as Announcement;
					forward('revision', announcement);
					if (replica.revision() < announcement.revision) {
						void catchUp(announcement.origin, announcement.revision);
					}
				},
			},
		},
	};
};
