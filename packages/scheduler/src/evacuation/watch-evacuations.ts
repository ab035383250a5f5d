import {sleep} from '@bergamotgauge/lifecycle';
import type {KeyChanges} from '@bergamotgauge/store';
import type {Clocks} from '../clocks.js';
import {WATCH_PAUSE_MS} from '../constants.js';
import type {LeaderState} from '../leader-state.js';
import {maxViewAgeMs} from '../start-guard.js';
import type {SchedulerContext} from '../types.js';
import type {ViewAges} from '../view-ages.js';
import {watchView} from '../watch-view.js';
import {SETTINGS_CHECK_MS} from './constants.js';
import {applyEvacuationRequests} from './evacuated-zones.js';

export type EvacuationWatchOptions = Readonly<{
	context: SchedulerContext;
	state: LeaderState;
	ages: ViewAges;
	clocks: Clocks;
	/** Called when zones have become evacuated or usable again. */
	onChanged: () => void;
	/** Called when the age of the view has been updated. */
	onSynced: () => void;
	signal: AbortSignal;
}>;

/** What a listing without requests shows. */
const NO_REQUESTS: KeyChanges = {revision: 0, items: [], removed: [], isListing: true};

/** Units that are placed in the zone, which go on there. */
const placedUnitsIn = ({directory, placementIndex}: LeaderState, zone: string): number =>
	[...placementIndex.byWorker]
		.filter(([workerId]) => directory.get(workerId)?.availabilityZone === zone)
		.reduce((sum, [, placed]) => sum + placed.length, 0);

/**
Keeps the evacuated zones of a term up to date until the signal aborts. The store is called only while the settings have a bound for evacuations, which a reload may bring or take away.

@example
```ts
lifecycle.run('evacuations', async (signal) => watchEvacuations({context, state, ages, clocks, onChanged, onSynced, signal}));
```
*/
export const watchEvacuations = async (options: EvacuationWatchOptions): Promise<void> => {
	const {context, state, ages, clocks, onChanged, onSynced, signal} = options;
	const {store, log, metrics, bounds, evacuations: requests} = context;
	const isServed = () => bounds.evacuationMs !== undefined;

	const report = (event: string, zone: string) => {
		const inZone = [...state.directory.values()].filter(({availabilityZone}) => availabilityZone === zone);
		// A new leader often reads the requests before the workers.
		const isDirectoryRead = state.directory.size > 0;
		log.info(event, {
			zone,
			workers: isDirectoryRead ? inZone.length : undefined,
			placedUnits: isDirectoryRead ? placedUnitsIn(state, zone) : undefined,
		});
	};

	const apply = (changes: KeyChanges) => {
		const {begun, ended} = applyEvacuationRequests(state.evacuatedZones, changes, requests);
		for (const zone of begun) {
			report('zone-evacuated', zone);
		}

		for (const zone of ended) {
			report('zone-evacuation-ended', zone);
		}

		metrics.gauge('zones_evacuated', state.evacuatedZones.size);
		if (begun.length + ended.length > 0) {
			onChanged();
		}
	};

	const watch = async (watchSignal: AbortSignal) =>
		watchView({
			store,
			log,
			latestNow: clocks.latestNow,
			prefix: requests.prefix,
			maxAgeMs: () => maxViewAgeMs(bounds.evacuationMs ?? Number.POSITIVE_INFINITY),
			pauseMs: WATCH_PAUSE_MS,
			age: ages.evacuations,
			onChanges: apply,
			onSynced,
			signal: watchSignal,
		});

	const waitForReload = async (isWaiting: () => boolean) => {
		while (isWaiting() && !signal.aborted) {
			await sleep(SETTINGS_CHECK_MS, signal);
		}
	};

	while (!signal.aborted) {
		await waitForReload(() => !isServed());
		const controller = new AbortController();
		const watching = watch(AbortSignal.any([signal, controller.signal]));
		await waitForReload(isServed);
		controller.abort();
		await watching;
		if (!signal.aborted) {
			apply(NO_REQUESTS);
		}
	}

	metrics.gauge('zones_evacuated', 0);
};
