import {sleep, withDeadline} from '@bergamotgauge/lifecycle';
import type {ListedInstance} from '@bergamotgauge/model';
import Emittery from 'emittery';
import {request} from 'undici';
import {INSTANCE_LIST_POLL_MS, PLAUSIBLE_LIST_SHARE, STORE_DEADLINE_MS} from './constants.js';

export type InstanceListEvents = {changed: readonly ListedInstance[]};

export type InstanceListOptions = Readonly<{
	url: string;
	/** Called when a reading fails; the next one follows after the usual interval. */
	onFailure?: (error: Error) => void;
}>;

/** The platform's list as last seen. */
export type InstanceList = Readonly<{
	current: () => readonly ListedInstance[];
	/** Reads the list once. */
	refresh: () => Promise<void>;
	/** Reads the list until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	events: Emittery<InstanceListEvents>;
}>;

const mergeRole = (known: readonly ListedInstance[], reading: readonly ListedInstance[]): readonly ListedInstance[] => {
	const ids = new Set(reading.map(({id}) => id));
	const missing = known.filter(({id}) => !ids.has(id));
	const kept = known.length - missing.length;
	return kept < known.length * PLAUSIBLE_LIST_SHARE ? [...reading, ...missing] : reading;
};

/**
Merges a new reading into the known list. A reading that lost more than half of the entries of a role keeps the missing ones, because the list service can answer with an empty or partial list, also for one role alone.

@example
```ts
mergeListing(known, []); // known
```
*/
export const mergeListing = (
	known: readonly ListedInstance[],
	reading: readonly ListedInstance[],
): readonly ListedInstance[] => {
	const roles = new Set([...known, ...reading].map(({role}) => role));
	return [...roles].flatMap((role) =>
		mergeRole(
			known.filter((entry) => entry.role === role),
			reading.filter((entry) => entry.role === role),
		),
	);
};

/**
Creates a reader of the platform's instance list.

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
				throw new Error(`the instance list answered ${response.statusCode}`);
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
