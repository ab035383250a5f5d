import {sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {hash48, type ListedInstance} from '@bergamotgauge/model';
import type {Log} from '@bergamotgauge/telemetry';
import Emittery from 'emittery';
import {
	HEARTBEAT_DEADLINE_MS,
	HEARTBEAT_INTERVAL_MS,
	HEARTBEAT_TARGETS,
	MAX_JOIN_UPDATES,
	MEMBER_CHECK_MS,
	PAUSE_MS,
} from './constants.js';
import {
	canOwn,
	isForgettable,
	mergeDirect,
	mergeSilence,
	mergeUpdate,
	newEntry,
	type MemberEntry,
	type Merged,
} from './member-table.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import type {Heartbeat, HeartbeatMessage, Member, MemberUpdate} from './types.js';
import {packUpdate, unpackUpdate} from './update-codec.js';
import {createUpdateQueue} from './update-queue.js';

export type MembershipEvents = {
	changed: readonly string[];
	heartbeat: Heartbeat;
	/** A later process runs under this instance's id. */
	superseded: Heartbeat;
};

/** The instances that this one knows, by list, by heartbeat and through other instances. */
export type Membership = Readonly<{
	/** Ids of instances that may own work, this one included unless it leaves; sorted. */
	owners: () => readonly string[];
	members: () => readonly Member[];
	link: (id: string) => PeerLink | undefined;
	/** Takes the platform's list; forgets what the list no longer has and is not heard. */
	applyList: (list: readonly ListedInstance[]) => void;
	/** Takes a heartbeat that a peer sent and gives ours. */
	receive: (message: HeartbeatMessage) => HeartbeatMessage;
	events: Emittery<MembershipEvents>;
}>;

/** An instance's own part of its heartbeat. */
export type OwnHeartbeat = Omit<Heartbeat, 'beat'>;

export type MembershipOptions = Readonly<{
	self: () => OwnHeartbeat;
	lifecycle: Lifecycle;
	log: Log;
	random?: () => number;
}>;

type Peer = {
	entry: MemberEntry;
	link: PeerLink;
	readonly ringDistance: number;
	isListed: boolean;
	/** Start of the heartbeats to this peer, while it is one of the fixed targets. */
	watchedSinceMs: number | undefined;
};

/**
Tracks the other instances. Its results are hints: no safety rests on them.

Each instance sends heartbeats to the next instances on a ring of hashed ids and to one random other; what changes spreads in bounded lists inside the heartbeats. The traffic of one instance therefore does not grow with their number.

@example
```ts
const membership = createMembership({self, lifecycle, log});
membership.applyList(list.current());
ownerOf('planner', membership.owners());
```
*/
export const createMembership = ({self, lifecycle, log, random = Math.random}: MembershipOptions): Membership => {
	const peers = new Map<string, Peer>();
	const events = new Emittery<MembershipEvents>();
	const queue = createUpdateQueue();
	let lastOwners = '';
	let targets: readonly Peer[] = [];
	/** Other instances that may own work; undefined after a change of the members. */
	let otherOwners: readonly string[] | undefined;
	let beat = 0;
	let incarnation = 0;
	let isSuperseded = false;
	let refreshIndex = 0;

	const ownHeartbeat = (): Heartbeat => {
		const own = self();
		incarnation = Math.max(incarnation, own.incarnation);
		return {...own, incarnation, beat};
	};

	const owners = (): readonly string[] => {
		const own = self();
		otherOwners ??= [...peers.values()]
			.filter(({entry}) => canOwn(entry))
			.map(({entry}) => entry.id)
			.toSorted();
		return own.state === 'live' && !isSuperseded ? [...otherOwners, own.id].toSorted() : otherOwners;
	};

	const announceChange = () => {
		const current = owners();
		const text = current.join(',');
		if (text !== lastOwners) {
			lastOwners = text;
			log.info('members-changed', {members: text});
			void events.emit('changed', current);
		}
	};

	const addPeer = (id: string, address: string): Peer => {
		const peer: Peer = {
			entry: newEntry(id, address, Date.now()),
			link: createPeerLink(address),
			ringDistance: (hash48(id) - hash48(self().id) + 2 ** 48) % 2 ** 48,
			isListed: false,
			watchedSinceMs: undefined,
		};
		peers.set(id, peer);
		return peer;
	};

	const store = (peer: Peer, {entry, isNews}: Merged) => {
		if (entry.health !== peer.entry.health) {
			log.debug('member-health', {member: entry.id, health: entry.health, incarnation: entry.heartbeat?.incarnation});
		}

		if (entry.address !== '' && entry.address !== peer.link.address) {
			peer.link.reset('the peer has another address');
			peer.link = createPeerLink(entry.address);
		}

		const isUrgent = entry.health !== peer.entry.health || entry.heartbeat?.state !== peer.entry.heartbeat?.state;
		if (canOwn(entry) !== canOwn(peer.entry)) {
			otherOwners = undefined;
		}

		peer.entry = entry;
		if (isNews) {
			queue.add(entry.id, isUrgent);
		}
	};

	const hearOwnId = (heartbeat: Heartbeat) => {
		const own = ownHeartbeat();
		if (heartbeat.incarnation <= own.incarnation || isSuperseded) {
			return;
		}

		if (own.state === 'starting') {
			// The clock of the predecessor's machine was ahead; the process that starts now is the later one.
			incarnation = heartbeat.incarnation + 1;
			return;
		}

		isSuperseded = true;
		log.error('superseded', {incarnation: own.incarnation, by: heartbeat.incarnation, address: heartbeat.address});
		void events.emit('superseded', heartbeat);
	};

	const takeUpdate = (update: MemberUpdate) => {
		const {heartbeat} = update;
		const own = ownHeartbeat();
		if (heartbeat.id === own.id) {
			hearOwnId(heartbeat);
			if (update.health !== 'alive' && heartbeat.incarnation === own.incarnation) {
				beat = Math.max(beat, heartbeat.beat) + 1;
				queue.add(own.id, true);
			}

			return;
		}

		const isAddable = update.health !== 'dead' && heartbeat.address !== '';
		const peer = peers.get(heartbeat.id) ?? (isAddable ? addPeer(heartbeat.id, heartbeat.address) : undefined);
		if (peer) {
			store(peer, mergeUpdate(peer.entry, update, Date.now()));
		}
	};

	const hear = ({updates, ...heartbeat}: HeartbeatMessage) => {
		if (heartbeat.id === self().id) {
			hearOwnId(heartbeat);
		} else {
			const peer =
				peers.get(heartbeat.id) ?? (heartbeat.address === '' ? undefined : addPeer(heartbeat.id, heartbeat.address));
			if (peer) {
				store(peer, mergeDirect(peer.entry, heartbeat, Date.now()));
				void events.emit('heartbeat', heartbeat);
			}
		}

		for (const update of updates) {
			takeUpdate(unpackUpdate(update));
		}

		announceChange();
	};

	const updateOf = (id: string): MemberUpdate | undefined => {
		if (id === self().id) {
			return {heartbeat: ownHeartbeat(), health: 'alive', silentMs: 0};
		}

		const entry = peers.get(id)?.entry;
		return entry?.heartbeat
			? {heartbeat: entry.heartbeat, health: entry.health, silentMs: Date.now() - entry.silentSinceMs}
			: undefined;
	};

	const updatesOf = (ids: Iterable<string>): readonly MemberUpdate[] =>
		[...ids].map((id) => updateOf(id)).filter((update) => update !== undefined);

	const ownMessage = (isForNewcomer = false): HeartbeatMessage => {
		const ids = new Set(isForNewcomer ? [...peers.keys()].slice(0, MAX_JOIN_UPDATES) : queue.take(peers.size));
		if (peers.size > HEARTBEAT_TARGETS) {
			// One more member in turn repairs what the bounded spreading of changes missed.
			refreshIndex = (refreshIndex + 1) % peers.size;
			ids.add([...peers.keys()][refreshIndex]!);
		}

		// The message carries the sender's own heartbeat anyway.
		ids.delete(self().id);
		return {...ownHeartbeat(), updates: updatesOf(ids).map((update) => packUpdate(update))};
	};

	const ringTargets = (): readonly Peer[] =>
		[...peers.values()]
			.filter(({entry}) => entry.health !== 'dead')
			.toSorted((a, b) => a.ringDistance - b.ringDistance)
			.slice(0, HEARTBEAT_TARGETS);

	const ringTarget = (index: number) => (): Peer | undefined => targets[index];

	const randomTarget = (): Peer | undefined => {
		const others = [...peers.values()].filter(({watchedSinceMs}) => watchedSinceMs === undefined);
		return others[Math.floor(random() * others.length)];
	};

	const probe = async ({link, entry}: Peer) => {
		try {
			hear((await link.call('heartbeat', ownMessage(), HEARTBEAT_DEADLINE_MS)) as HeartbeatMessage);
		} catch (error) {
			link.reset('no heartbeat answer');
			log.debug('heartbeat-failed', {peer: entry.id, error: String(error)});
		}
	};

	const runProbes = async (target: () => Peer | undefined, signal: AbortSignal) => {
		await sleep(0, signal);
		while (!signal.aborted) {
			const startedMs = Date.now();
			const peer = target();
			if (peer) {
				await probe(peer);
			}

			// After a silent connection the next heartbeat follows at once on a new one.
			await sleep(Math.max(0, HEARTBEAT_INTERVAL_MS - (Date.now() - startedMs)), signal);
		}
	};

	const check = (nowMs: number) => {
		targets = ringTargets();
		const watched = new Set(targets);
		for (const peer of peers.values()) {
			peer.watchedSinceMs = watched.has(peer) ? (peer.watchedSinceMs ?? nowMs) : undefined;
			store(peer, mergeSilence(peer.entry, peer.watchedSinceMs, nowMs));
			if (!peer.isListed && isForgettable(peer.entry, nowMs)) {
				peers.delete(peer.entry.id);
				otherOwners = undefined;
				peer.link.reset('the peer was removed');
			}
		}

		announceChange();
	};

	const runChecks = async (signal: AbortSignal) => {
		await sleep(0, signal);
		let lastMs = Date.now();
		let lastOwn = '';
		let lastState = '';
		while (!signal.aborted) {
			const nowMs = Date.now();
			const pausedMs = nowMs - lastMs - MEMBER_CHECK_MS;
			if (pausedMs > PAUSE_MS) {
				// This process was stopped, so the silence of the others says nothing.
				log.warn('process-paused', {pausedMs});
				for (const peer of peers.values()) {
					peer.watchedSinceMs &&= nowMs;
					peer.entry = {...peer.entry, silentSinceMs: peer.entry.silentSinceMs + pausedMs};
				}
			}

			lastMs = nowMs;
			beat += 1;
			const {state, generation, workersDown} = self();
			const own = `${generation}/${workersDown.join(',')}`;
			if (own !== lastOwn || state !== lastState) {
				queue.add(self().id, state !== lastState);
				lastOwn = own;
				lastState = state;
			}

			check(nowMs);
			await sleep(MEMBER_CHECK_MS, signal);
		}
	};

	for (let index = 0; index < HEARTBEAT_TARGETS; index += 1) {
		lifecycle.run(`heartbeats-${index}`, async (signal) => runProbes(ringTarget(index), signal));
	}

	lifecycle.run('heartbeats-random', async (signal) => runProbes(randomTarget, signal));
	lifecycle.run('member-checks', runChecks);
	lifecycle.add('peer-links', () => {
		for (const {link} of peers.values()) {
			link.reset('this instance stops');
		}
	});

	return {
		events,
		owners,
		members: () =>
			[...peers.values()].map(({entry}) => ({
				id: entry.id,
				address: entry.address,
				health: entry.health,
				heartbeat: entry.heartbeat,
				lastHeardMs: entry.health === 'alive' ? Date.now() : entry.silentSinceMs,
			})),
		link: (id) => peers.get(id)?.link,
		applyList(list) {
			const listed = list.filter(({role, id}) => role === 'instance' && id !== self().id);
			const ids = new Set(listed.map(({id}) => id));
			for (const {id, address} of listed) {
				const peer = peers.get(id) ?? addPeer(id, address);
				peer.isListed = true;
				// The list lags, so an instance that is heard names its address itself.
				if (peer.entry.health === 'unknown' || peer.entry.health === 'dead') {
					store(peer, {entry: {...peer.entry, address}, isNews: false});
				}
			}

			for (const peer of peers.values()) {
				peer.isListed = ids.has(peer.entry.id);
			}

			check(Date.now());
		},
		receive(message) {
			hear(message);
			return ownMessage(message.state === 'starting');
		},
	};
};
