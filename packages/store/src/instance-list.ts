import {sleep, withDeadline} from '@bergamotgauge/lifecycle';
import type {ListedInstance} from '@bergamotgauge/model';
import Emittery from 'emittery';
import {request} from 'undici';
import {INSTANCE_LIST_POLL_MS, MIN_RETAINED_LIST_SHARE, STORE_DEADLINE_MS} from './constants.js';

export type InstanceListEvents = {changed: readonly ListedInstance[]};

export type InstanceListOptions = Readonly<{
	url: string;
	/** Called when a poll fails; the next poll follows after the usual interval. */
	onFailure?: (error: Error) => void;
}>;

/** Poller of the platform's instance list. */
export type InstanceList = Readonly<{
	/** The merged entries of the last successful poll. */
	current: () => readonly ListedInstance[];
	/** Polls the list once. */
	refresh: () => Promise<void>;
	/** Polls the list until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	events: Emittery<InstanceListEvents>;
}>;

const mergeRole = (known: readonly ListedInstance[], listing: readonly ListedInstance[]): readonly ListedInstance[] => {
	const ids = new Set(listing.map(({id}) => id));
	const missing = known.filter(({id}) => !ids.has(id));
	const kept = known.length - missing.length;
	return kept < known.length * MIN_RETAINED_LIST_SHARE ? [...listing, ...missing] : listing;
};

/**
Merges a new listing into the known one. When the listing lacks more than half of the known entries of a role, the missing entries are kept: the list service can return an empty or partial list, also for a single role.

@example
```ts
mergeListing(known, []); // known
```
*/
export const mergeListing = (
	known: readonly ListedInstance[],
	listing: readonly ListedInstance[],
): readonly ListedInstance[] => {
	const roles = new Set([...known, ...listing].map(({role}) => role));
	return [...roles].flatMap((role) =>
		mergeRole(
			known.filter((entry) => entry.role === role),
			listing.filter((entry) => entry.role === role),
		),
	);
};

/**
Creates a poller of the platform's instance list.

@example
```ts
const list = createInstanceList({url});
lifecycle.run('instance-list', list.run);
```
*/
export const createInstanceList = ({url, onFailure}: InstanceListOptions): InstanceList => {
	const events = new Emittery<InstanceListEvents>();
	let known: readonly ListedInstance[] = [];
	let lastText = '';

	const refresh = async () => {
		const text = await withDeadline(STORE_DEADLINE_MS, async (signal) => {
			const response = await request(`${url}/v1/instances`, {signal});
			const body = await response.body.text();
			if (response.statusCode !== 200) {
				throw new Error(`instance list request failed with status ${response.statusCode}`);
			}

			return body;
		});
		if (text === lastText) {
			return;
		}

		lastText = text;
		const {instances} = JSON.parse(text) as Readonly<{instances: readonly ListedInstance[]}>;
		known = mergeListing(known, instances);
		await events.emit('changed', known);
	};

	return {
		current: () => known,
		events,
		refresh,
		async run(signal) {
			while (!signal.aborted) {
				try {
					await refresh();
				} catch (error) {
					onFailure?.(error instanceof Error ? error : new Error(String(error)));
				}

				await sleep(INSTANCE_LIST_POLL_MS, signal);
			}
		},
	};
};
