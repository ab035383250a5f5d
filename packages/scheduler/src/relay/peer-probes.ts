import {sleep} from '@bergamotgauge/lifecycle';
import type {PeerLink} from '@bergamotgauge/peer';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {
	PROBED_PEERS,
	PROBE_DEADLINE_MS,
	PROBE_INTERVAL_MS,
	PROBE_LINGER_MS,
	PROBE_MAX_AGE_MS,
	PROBE_RETRY_MS,
} from './constants.js';
import type {PeerRecord, PeerStatus} from './types.js';

/** A peer that serves, with the link to it. */
export type ServingPeer = Readonly<{record: PeerRecord; link: PeerLink}>;

/** Knows which peers serve while requests need one. */
export type PeerProbes = Readonly<{
	/** The best peer that serves and is not excluded. Waits for at most `waitMs` until one is known; `undefined` if there is none. */
	find: (excluded: ReadonlySet<string>, waitMs: number, signal: AbortSignal) => Promise<ServingPeer | undefined>;
	/** Records that the peer did not answer a request, or is not served by the store. */
	markFailed: (peerId: string) => void;
	close: () => void;
}>;

export type PeerProbesOptions = Readonly<{
	candidates: () => readonly PeerRecord[];
	availabilityZone: string;
	createLink: (address: string) => PeerLink;
	/** Least configuration revision of a peer that may answer. */
	minRevision: () => number;
	log: Log;
	metrics: Metrics;
	now: () => number;
}>;

type Probed = {
	link: PeerLink;
	address: string;
	/** Time of the last probe that the peer answered, and of the last that it answered as serving. */
	answeredMs: number;
	servingMs: number;
	/** Time from which the peer may be probed again after it did not serve. */
	retryMs: number;
	isProbing: boolean;
};

/**
Creates the probes of an instance. They are sent while requests need a peer and for a short while after; links are opened by the first probe.

@example
```ts
const probes = createPeerProbes({candidates, availabilityZone, createLink: createPeerLink, minRevision, log, metrics, now});
const peer = await probes.find(new Set(), 300, signal);
```
*/
export const createPeerProbes = (options: PeerProbesOptions): PeerProbes => {
	const {candidates, availabilityZone, createLink, minRevision, log, metrics, now} = options;
	const probed = new Map<string, Probed>();
	/** Called when a probe has been answered. */
	const waiting = new Set<() => void>();
	let neededMs = Number.NEGATIVE_INFINITY;
	let controller: AbortController | undefined;
	let isClosed = false;

	const isServing = (peer: Probed | undefined): peer is Probed =>
		peer !== undefined && now() - peer.servingMs <= PROBE_MAX_AGE_MS;

	/** Serving candidates, those of the own availability zone first. */
	const servingPeers = (): readonly ServingPeer[] => {
		const serving = candidates().flatMap((record) => {
			const peer = probed.get(record.id);
			return isServing(peer) && peer.address === record.address ? [{record, link: peer.link}] : [];
		});
		const isNear = ({record}: ServingPeer) => record.availabilityZone === availabilityZone;
		return [...serving.filter((peer) => isNear(peer)), ...serving.filter((peer) => !isNear(peer))];
	};

	const wakeWaiting = () => {
		for (const wake of waiting) {
			wake();
		}
	};

	const probeOnce = async (peer: Probed) => {
		peer.isProbing = true;
		const sentMs = now();
		try {
			const status = (await peer.link.call('status', undefined, PROBE_DEADLINE_MS)) as PeerStatus;
			peer.answeredMs = now();
			if (status.isServing && status.revision >= minRevision()) {
				peer.servingMs = sentMs;
			} else {
				peer.servingMs = Number.NEGATIVE_INFINITY;
				peer.retryMs = now() + PROBE_RETRY_MS;
			}
		} catch {
			if (now() - peer.answeredMs > PROBE_MAX_AGE_MS) {
				// The link may have died silently.
				peer.link.reset('probes got no response');
				peer.retryMs = now() + PROBE_RETRY_MS;
			}
		} finally {
			peer.isProbing = false;
			wakeWaiting();
		}
	};

	/** The peer's state; a peer that has moved is a new one. */
	const open = ({id, address}: PeerRecord): Probed => {
		const known = probed.get(id);
		if (known?.address === address) {
			return known;
		}

		known?.link.reset('the peer has another address');
		const peer: Probed = {
			link: createLink(address),
			address,
			answeredMs: Number.NEGATIVE_INFINITY,
			servingMs: Number.NEGATIVE_INFINITY,
			retryMs: Number.NEGATIVE_INFINITY,
			isProbing: false,
		};
		probed.set(id, peer);
		return peer;
	};

	const probeRound = () => {
		const records = candidates();
		const serving = records.filter(({id}) => isServing(probed.get(id)));
		const others = records.filter(({id}) => !isServing(probed.get(id)) && now() >= (probed.get(id)?.retryMs ?? 0));
		for (const record of [...serving, ...others].slice(0, PROBED_PEERS)) {
			const peer = open(record);
			if (!peer.isProbing) {
				void probeOnce(peer);
			}
		}
	};

	const end = () => {
		controller?.abort();
		controller = undefined;
		for (const {link} of probed.values()) {
			link.reset('no request needs a peer');
		}

		probed.clear();
	};

	const run = async (signal: AbortSignal) => {
		const startedMs = now();
		while (!signal.aborted && now() - neededMs <= PROBE_LINGER_MS) {
			probeRound();
			metrics.gauge('relay_peers_serving', servingPeers().length);
			await sleep(PROBE_INTERVAL_MS, signal);
		}

		if (!signal.aborted) {
			log.info('relay-idle', {afterMs: Math.round(now() - startedMs)});
			metrics.gauge('relay_peers_serving', 0);
			end();
		}
	};

	const start = () => {
		neededMs = now();
		if (!controller && !isClosed) {
			log.info('relay-active', {candidates: candidates().length});
			controller = new AbortController();
			void run(controller.signal);
		}
	};

	/** Waits until a probe is answered, the time has passed or the signal aborts. */
	const waitForAnswer = async (waitMs: number, signal: AbortSignal): Promise<void> => {
		const answered = new AbortController();
		const wake = () => {
			answered.abort();
		};

		waiting.add(wake);
		signal.addEventListener('abort', wake, {once: true});
		try {
			await sleep(waitMs, answered.signal);
		} finally {
			waiting.delete(wake);
			signal.removeEventListener('abort', wake);
		}
	};

	return {
		async find(excluded, waitMs, signal) {
			start();
			const untilMs = now() + waitMs;
			for (;;) {
				const peer = servingPeers().find(({record}) => !excluded.has(record.id));
				if (peer !== undefined || signal.aborted || isClosed || now() >= untilMs) {
					return peer;
				}

				probeRound();
				if (![...probed.values()].some(({isProbing}) => isProbing)) {
					// All candidates have answered that they do not serve.
					return undefined;
				}

				await waitForAnswer(untilMs - now(), signal);
			}
		},
		markFailed(peerId) {
			const peer = probed.get(peerId);
			if (peer) {
				peer.servingMs = Number.NEGATIVE_INFINITY;
				peer.retryMs = now() + PROBE_RETRY_MS;
			}
		},
		close() {
			isClosed = true;
			end();
			wakeWaiting();
		},
	};
};
