import {sleep} from '@bergamotgauge/lifecycle';
import {ANTI_ENTROPY_INTERVAL_MS, rankMembers} from '@bergamotgauge/peer';
import {listAll, runWatcher, type Changes, type Entry} from '@bergamotgauge/platform';
import {REPLICATED_PREFIXES, WATCHER_COUNT} from './constants.js';
import type {Context} from './context.js';

/** Sends a message to every known instance. */
export const notifyAll = (context: Context, method: string, body: unknown): void => {
	for (const {id} of context.membership.members()) {
		context.membership.link(id)?.notify(method, body);
	}
};

/** Sends values that this instance wrote to the other instances. */
export const spreadEntry = (context: Context, entry: Entry<unknown>): void => {
	const changes: Changes = {revision: 0, entries: [entry], compacted: false};
	notifyAll(context, 'changed', changes);
};

const isWatching = (context: Context): boolean => {
	const owners = context.membership.owners();
	return owners.length === 0 || rankMembers('watch', owners).slice(0, WATCHER_COUNT).includes(context.settings.id);
};

const runAntiEntropy = async (context: Context, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		await sleep(ANTI_ENTROPY_INTERVAL_MS, signal);
		const ahead = context.membership
			.members()
			.filter(({heartbeat}) => (heartbeat?.revision ?? 0) > context.replica.revision());
		const peer = ahead[Math.floor(Math.random() * ahead.length)];
		const link = peer && context.membership.link(peer.id);
		if (link) {
			const changes = (await link.call('changes', {afterRevision: context.replica.revision()})) as Changes;
			context.replica.apply(changes);
		}
	}
};

/**
Reads the store once, then follows it by watch or through the other instances.

@throws {ServiceError} `store-unavailable` when neither the store nor a peer gives a first copy.
*/
export const startReplication = async (context: Context): Promise<void> => {
	const {lifecycle, replica, store} = context;
	replica.apply(await listAll(store, REPLICATED_PREFIXES));
	lifecycle.run('watch', async (signal) =>
		runWatcher({
			store,
			replica,
			prefixes: REPLICATED_PREFIXES,
			isWatching: () => isWatching(context),
			onChanges(changes) {
				if (changes.entries.length > 0) {
					notifyAll(context, 'changed', changes);
				}
			},
			signal,
		}),
	);
	lifecycle.run('anti-entropy', async (signal) => runAntiEntropy(context, signal));
};
