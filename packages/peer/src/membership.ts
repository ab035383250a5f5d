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
	PROCESS_PAUSE_THRESHOLD_MS,
} from './constants.js';
import {
	canOwn,
	isPurgeable,
	mergeHeartbeat,
	applySilenceTimeouts,
	mergeUpdate,
	newEntry,
	type MemberEntry,
	type MergeResult,
} from './member-table.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import type {Heartbeat, HeartbeatMessage, Member, MemberUpdate} from './types.js';
import {packUpdate, unpackUpdate} from './update-codec.js';
import {createUpdateQueue} from './update-queue.js';

export type MembershipEvents = {
	changed: readonly string[];
	heartbeat: Heartbeat;
	/** A later process with this instance's id is running. */
	superseded: Heartbeat;
};

/** The instances known to this one from the instance list, from heartbeats and from gossip. */
export type Membership = Readonly<{
	/** Sorted ids of the instances that may own work; includes this one while it is live. */
	owners: () => readonly string[];
	members: () => readonly Member[];
	link: (id: string) => PeerLink | undefined;
	/** Applies the platform's instance list. Members that are neither listed nor sending heartbeats are dropped. */
	applyList: (list: readonly ListedInstance[]) => void;
	/** Processes a peer's heartbeat and returns the heartbeat to respond with. */
	receive: (message: HeartbeatMessage) => HeartbeatMessage;
	events: Emittery<MembershipEvents>;
}>;

/** The part of a heartbeat that the instance supplies; membership adds the beat. */
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
	/** Time at which this instance started to send heartbeats to the peer; undefined unless the peer is a ring target. */
	observedSinceMs: number | undefined;
};

/**
Tracks the other instances. The results are hints: no safety property depends on them.

Each instance sends heartbeats to its successors on a ring of hashed ids and to one random member. Changes are disseminated by gossip, in bounded lists inside the heartbeats, so the traffic of one instance does not grow with the number of instances.

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
	/** Cached ids of the other instances that may own work; undefined after a membership change. */
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

	const emitOwnersChange = () => {
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
			observedSinceMs: undefined,
		};
		peers.set(id, peer);
		return peer;
	};

	const updateEntry = (peer: Peer, {entry, shouldDisseminate}: MergeResult) => {
		if (entry.health !== peer.entry.health) {
			log.debug('member-health', {member: entry.id, health: entry.health, incarnation: entry.heartbeat?.incarnation});
		}

		if (entry.address !== '' && entry.address !== peer.link.address) {
			peer.link.reset('the peer changed its address');
			peer.link = createPeerLink(entry.address);
		}

		const isUrgent = entry.health !== peer.entry.health || entry.heartbeat?.state !== peer.entry.heartbeat?.state;
		if (canOwn(entry) !== canOwn(peer.entry)) {
			otherOwners = undefined;
		}

		peer.entry = entry;
		if (shouldDisseminate) {
			queue.add(entry.id, isUrgent);
		}
	};

	const handleDuplicateId = (heartbeat: Heartbeat) => {
		const own = ownHeartbeat();
		if (heartbeat.incarnation <= own.incarnation || isSuperseded) {
			return;
		}

		if (own.state === 'starting') {
			// The incarnation derives from the clock, and the predecessor's clock was ahead. A starting process is always the later one, so it takes a higher incarnation.
			incarnation = heartbeat.incarnation + 1;
			return;
		}

		isSuperseded = true;
		log.error('superseded', {incarnation: own.incarnation, by: heartbeat.incarnation, address: heartbeat.address});
		void events.emit('superseded', heartbeat);
	};

	const applyUpdate = (update: MemberUpdate) => {
		const {heartbeat} = update;
		const own = ownHeartbeat();
		if (heartbeat.id === own.id) {
			handleDuplicateId(heartbeat);
			if (update.health !== 'alive' && heartbeat.incarnation === own.incarnation) {
				beat = Math.max(beat, heartbeat.beat) + 1;
				queue.add(own.id, true);
			}

			return;
		}

		const isAddable = update.health !== 'dead' && heartbeat.address !== '';
		const peer = peers.get(heartbeat.id) ?? (isAddable ? addPeer(heartbeat.id, heartbeat.address) : undefined);
		if (peer) {
			updateEntry(peer, mergeUpdate(peer.entry, update, Date.now()));
		}
	};

	const handleHeartbeat = ({updates, ...heartbeat}: HeartbeatMessage) => {
		if (heartbeat.id === self().id) {
			handleDuplicateId(heartbeat);
		} else {
			const peer =
				peers.get(heartbeat.id) ?? (heartbeat.address === '' ? undefined : addPeer(heartbeat.id, heartbeat.address));
			if (peer) {
				updateEntry(peer, mergeHeartbeat(peer.entry, heartbeat, Date.now()));
				void events.emit('heartbeat', heartbeat);
			}
		}

		for (const update of updates) {
			applyUpdate(unpackUpdate(update));
		}

		emitOwnersChange();
	};

	const createUpdate = (id: string): MemberUpdate | undefined => {
		if (id === self().id) {
			return {heartbeat: ownHeartbeat(), health: 'alive', silentMs: 0};
		}

		const entry = peers.get(id)?.entry;
		return entry?.heartbeat
			? {heartbeat: entry.heartbeat, health: entry.health, silentMs: Date.now() - entry.silentSinceMs}
			: undefined;
	};

	const createUpdates = (ids: Iterable<string>): readonly MemberUpdate[] =>
		[...ids].map((id) => createUpdate(id)).filter((update) => update !== undefined);

	const createHeartbeatMessage = (isForStartingMember = false): HeartbeatMessage => {
		const ids = new Set(
			isForStartingMember ? [...peers.keys()].slice(0, MAX_JOIN_UPDATES) : queue.nextBatch(peers.size),
		);
		if (peers.size > HEARTBEAT_TARGETS) {
			// Adding one more member in round-robin order repairs changes that the bounded gossip missed.
			refreshIndex = (refreshIndex + 1) % peers.size;
			ids.add([...peers.keys()][refreshIndex]!);
		}

		// The message already contains the sender's own heartbeat.
		ids.delete(self().id);
		return {...ownHeartbeat(), updates: createUpdates(ids).map((update) => packUpdate(update))};
	};

	const ringTargets = (): readonly Peer[] =>
		[...peers.values()]
			.filter(({entry}) => entry.health !== 'dead')
			.toSorted((a, b) => a.ringDistance - b.ringDistance)
			.slice(0, HEARTBEAT_TARGETS);

	const ringTarget = (index: number) => (): Peer | undefined => targets[index];

	const randomTarget = (): Peer | undefined => {
		const others = [...peers.values()].filter(({observedSinceMs}) => observedSinceMs === undefined);
		return others[Math.floor(random() * others.length)];
	};

	const sendHeartbeat = async ({link, entry}: Peer) => {
		try {
			handleHeartbeat(
				(await link.call('heartbeat', createHeartbeatMessage(), HEARTBEAT_DEADLINE_MS)) as HeartbeatMessage,
			);
		} catch (error) {
			link.reset('the heartbeat failed');
			log.debug('heartbeat-failed', {peer: entry.id, error: String(error)});
		}
	};

	const runHeartbeats = async (target: () => Peer | undefined, signal: AbortSignal) => {
		await sleep(0, signal);
		while (!signal.aborted) {
			const startedMs = Date.now();
			const peer = target();
			if (peer) {
				await sendHeartbeat(peer);
			}

			// After a heartbeat that exceeded its deadline, the next one is sent immediately, on a new connection.
			await sleep(Math.max(0, HEARTBEAT_INTERVAL_MS - (Date.now() - startedMs)), signal);
		}
	};

	const checkMembers = (nowMs: number) => {
		targets = ringTargets();
		const observed = new Set(targets);
		for (const peer of peers.values()) {
			peer.observedSinceMs = observed.has(peer) ? (peer.observedSinceMs ?? nowMs) : undefined;
			updateEntry(peer, applySilenceTimeouts(peer.entry, peer.observedSinceMs, nowMs));
			if (!peer.isListed && isPurgeable(peer.entry, nowMs)) {
				peers.delete(peer.entry.id);
				otherOwners = undefined;
				peer.link.reset('the peer was removed');
			}
		}

		emitOwnersChange();
	};

	const runMemberChecks = async (signal: AbortSignal) => {
		await sleep(0, signal);
		let lastMs = Date.now();
		let lastOwnFields = '';
		let lastState = '';
		while (!signal.aborted) {
			const nowMs = Date.now();
			const pausedMs = nowMs - lastMs - MEMBER_CHECK_MS;
			if (pausedMs > PROCESS_PAUSE_THRESHOLD_MS) {
				// This process was suspended, so the missing heartbeats of the others are no evidence of failure.
				log.warn('process-paused', {pausedMs});
				for (const peer of peers.values()) {
					peer.observedSinceMs &&= nowMs;
					peer.entry = {...peer.entry, silentSinceMs: peer.entry.silentSinceMs + pausedMs};
				}
			}

			lastMs = nowMs;
			beat += 1;
			const {state, generation, workersDown} = self();
			const ownFields = `${generation}/${workersDown.join(',')}`;
			if (ownFields !== lastOwnFields || state !== lastState) {
				queue.add(self().id, state !== lastState);
				lastOwnFields = ownFields;
				lastState = state;
			}

			checkMembers(nowMs);
			await sleep(MEMBER_CHECK_MS, signal);
		}
	};

	for (let index = 0; index < HEARTBEAT_TARGETS; index += 1) {
		lifecycle.run(`heartbeats-${index}`, async (signal) => runHeartbeats(ringTarget(index), signal));
	}

	lifecycle.run('heartbeats-random', async (signal) => runHeartbeats(randomTarget, signal));
	lifecycle.run('member-checks', runMemberChecks);
	lifecycle.add('peer-links', () => {
		for (const {link} of peers.values()) {
			link.reset('this instance is stopping');
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
				lastSeenMs: entry.health === 'alive' ? Date.now() : entry.silentSinceMs,
			})),
		link: (id) => peers.get(id)?.link,
		applyList(list) {
			const listed = list.filter(({role, id}) => role === 'instance' && id !== self().id);
			const ids = new Set(listed.map(({id}) => id));
			for (const {id, address} of listed) {
				const peer = peers.get(id) ?? addPeer(id, address);
				peer.isListed = true;
				// The list may be outdated, so a reachable instance's own address takes precedence.
				if (peer.entry.health === 'unknown' || peer.entry.health === 'dead') {
					updateEntry(peer, {entry: {...peer.entry, address}, shouldDisseminate: false});
				}
			}

			for (const peer of peers.values()) {
				peer.isListed = ids.has(peer.entry.id);
			}

			checkMembers(Date.now());
		},
		receive(message) {
			handleHeartbeat(message);
			return createHeartbeatMessage(message.state === 'starting');
		},
	};
};
