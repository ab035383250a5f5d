import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {createPeerLink, startPeerServer} from '@bergamotgauge/peer';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {StoreHealth} from '../store-health.js';
import {MAX_PEER_CONNECTIONS, MAX_RELAY_FRAME_BYTES, PEER_CONNECTION_IDLE_MS} from './constants.js';
import {createPeerDirectory} from './peer-directory.js';
import {createPeerProbes} from './peer-probes.js';
import {createRelayHandlers} from './relay-handlers.js';
import {createRelay, type Relay} from './relay.js';
import type {CallerCall, PeerRecord} from './types.js';

export type StartRelayOptions = Readonly<{
	/** This instance, with the `host:port` of its listener; with port 0 the operating system chooses a free port. */
	own: PeerRecord;
	store: KeyValueStore;
	health: StoreHealth;
	/** Store revision of the configuration; 0 while there is none. */
	configurationRevision: () => number;
	/** Whether the configuration is missing or may be out of date. */
	isStale: () => boolean;
	/** Whether the instance is stopping; it then serves no further requests of its peers. */
	isDraining: () => boolean;
	/** Answers with this instance's store and configuration. */
	answer: (call: CallerCall) => Promise<unknown>;
	lifecycle: Lifecycle;
	log: Log;
	metrics: Metrics;
}>;

/**
Starts the listener for peers, registers the instance in the store and returns its relay. An instance whose listener can't be opened serves without a relay.

@example
```ts
const relay = await startRelay({own, store, health, configurationRevision, isStale, isDraining, answer, lifecycle, log, metrics});
```
*/
export const startRelay = async (options: StartRelayOptions): Promise<Relay | undefined> => {
	const {own, store, health, configurationRevision, isStale, isDraining, answer, lifecycle, log, metrics} = options;
	const {now} = health.clocks;
	let newestSeen = 0;
	const seenRevision = {
		get: () => Math.max(newestSeen, configurationRevision()),
		raise(revision: number) {
			newestSeen = Math.max(newestSeen, revision);
		},
	};

	const separator = own.address.lastIndexOf(':');
	let address: string;
	try {
		address = await startPeerServer({
			host: own.address.slice(0, separator),
			port: Number(own.address.slice(separator + 1)),
			handlers: createRelayHandlers({
				answer,
				isServing: () => !isDraining() && relay.isServing(),
				revision: configurationRevision,
				metrics,
			}),
			lifecycle,
			log,
			maxConnections: MAX_PEER_CONNECTIONS,
			maxFrameBytes: MAX_RELAY_FRAME_BYTES,
			idleMs: PEER_CONNECTION_IDLE_MS,
		});
	} catch (error) {
		log.error('relay-not-started', {address: own.address, error: toServiceError(error, 'not-run').message});
		return undefined;
	}

	const record = {...own, address};
	const directory = createPeerDirectory({store, own: record, log});
	const probes = createPeerProbes({
		candidates: directory.candidates,
		availabilityZone: own.availabilityZone,
		createLink: createPeerLink,
		minRevision: seenRevision.get,
		log,
		metrics,
		now,
	});
	const relay = createRelay({
		probes,
		isStoreInDoubt: health.isInDoubt,
		currentRevision: () => (isStale() ? undefined : configurationRevision()),
		seenRevision,
		log,
		metrics,
		now,
	});
	lifecycle.add('relay', probes.close);
	lifecycle.run('peers', directory.run);
	return relay;
};
