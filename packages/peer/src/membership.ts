import {sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import type {ListedInstance} from '@bergamotgauge/model';
import type {Log} from '@bergamotgauge/telemetry';
import Emittery from 'emittery';
import {HEARTBEAT_INTERVAL_MS, LINK_SILENT_MS, REMOVE_AFTER_MS, SUSPECT_AFTER_MS} from './constants.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import type {Health, Heartbeat, Member} from './types.js';

export type MembershipEvents = {
	changed: readonly string[];
	heartbeat: Heartbeat;
};

/** The instances that this one knows, by list and by heartbeat. */
export type Membership = Readonly<{
	/** Ids of instances that may own work, this one included unless it leaves; sorted. */
	owners: () => readonly string[];
	members: () => readonly Member[];
	link: (id: string) => PeerLink | undefined;
	/** Takes the platform's list; removes what the list no longer has and is not heard. */
	applyList: (list: readonly ListedInstance[]) => void;
	/** Takes a heartbeat that a peer sent and gives ours. */
	receive: (heartbeat: Heartbeat) => Heartbeat;
	events: Emittery<MembershipEvents>;
}>;

export type MembershipOptions = Readonly<{
	self: () => Heartbeat;
	lifecycle: Lifecycle;
	log: Log;
}>;

type Peer = {
	readonly id: string;
	readonly link: PeerLink;
	readonly lifecycle: Lifecycle;
	heartbeat: Heartbeat | undefined;
	lastHeardMs: number;
};

const healthOf = (peer: Peer, nowMs: number): Health => {
	if (!peer.heartbeat) {
		return 'unknown';
	}

	const silentMs = nowMs - peer.lastHeardMs;
	if (silentMs >= REMOVE_AFTER_MS) {
		return 'dead';
	}

	return silentMs >= SUSPECT_AFTER_MS ? 'suspect' : 'alive';
};

const canOwn = (peer: Peer, nowMs: number): boolean => {
	const health = healthOf(peer, nowMs);
	return (health === 'alive' || health === 'suspect') && peer.heartbeat?.state === 'live';
};

/**
Tracks the other instances by heartbeats. Its results are hints: no safety rests on them.

@example
```ts
const membership = createMembership({self, lifecycle, log});
membership.applyList(list.current());
ownerOf('planner', membership.owners());
```
*/
export const createMembership = ({self, lifecycle, log}: MembershipOptions): Membership => {
	const peers = new Map<string, Peer>();
	const events = new Emittery<MembershipEvents>();
	let lastOwners = '';

	const owners = (): readonly string[] => {
		const nowMs = Date.now();
		const own = self();
		const others = [...peers.values()].filter((peer) => canOwn(peer, nowMs)).map(({id}) => id);
		return (own.state === 'live' ? [...others, own.id] : others).toSorted();
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

	const hear = (heartbeat: Heartbeat) => {
		const peer = peers.get(heartbeat.id);
		// A heartbeat of an earlier incarnation may still be under way after a restart.
		if (!peer || heartbeat.incarnation < (peer.heartbeat?.incarnation ?? 0)) {
			return;
		}

		peer.heartbeat = heartbeat;
		peer.lastHeardMs = Date.now();
		void events.emit('heartbeat', heartbeat);
		announceChange();
	};

	const runHeartbeats = async (peer: Peer, signal: AbortSignal) => {
		while (!signal.aborted) {
			try {
				hear((await peer.link.call('heartbeat', self(), LINK_SILENT_MS)) as Heartbeat);
			} catch (error) {
				peer.link.reset('no heartbeat answer');
				log.debug('heartbeat-failed', {peer: peer.id, error: String(error)});
			}

			announceChange();
			await sleep(HEARTBEAT_INTERVAL_MS, signal);
		}
	};

	const addPeer = (id: string, address: string) => {
		const peerLifecycle = lifecycle.child(`peer-${id}`);
		const peer: Peer = {
			id,
			link: createPeerLink(address),
			lifecycle: peerLifecycle,
			heartbeat: undefined,
			lastHeardMs: 0,
		};
		peers.set(id, peer);
		peerLifecycle.add('link', () => {
			peer.link.reset('the peer was removed');
		});
		peerLifecycle.run('heartbeats', async (signal) => runHeartbeats(peer, signal));
	};

	const removePeer = (peer: Peer) => {
		peers.delete(peer.id);
		void peer.lifecycle.close();
	};

	return {
		events,
		owners,
		members: () =>
			[...peers.values()].map((peer) => ({
				id: peer.id,
				address: peer.link.address,
				health: healthOf(peer, Date.now()),
				heartbeat: peer.heartbeat,
				lastHeardMs: peer.lastHeardMs,
			})),
		link: (id) => peers.get(id)?.link,
		applyList(list) {
			const listed = list.filter(({role, id}) => role === 'instance' && id !== self().id);
			for (const {id, address} of listed) {
				const known = peers.get(id);
				if (known && known.link.address !== address) {
					removePeer(known);
				}

				if (!peers.has(id)) {
					addPeer(id, address);
				}
			}

			const ids = new Set(listed.map(({id}) => id));
			for (const peer of peers.values()) {
				const health = healthOf(peer, Date.now());
				if (!ids.has(peer.id) && health !== 'alive' && health !== 'suspect') {
					removePeer(peer);
				}
			}

			announceChange();
		},
		receive(heartbeat) {
			hear(heartbeat);
			return self();
		},
	};
};
