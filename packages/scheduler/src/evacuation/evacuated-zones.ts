import type {KeyChanges} from '@bergamotgauge/store';
import type {LeaderState} from '../leader-state.js';
import type {EvacuationRequests} from './types.js';

/** Zones whose evacuation has begun or ended. */
export type EvacuationChange = Readonly<{begun: readonly string[]; ended: readonly string[]}>;

/**
Applies changes of the requests to the evacuated zones, and returns what has changed.

@example
```ts
const {begun, ended} = applyEvacuationRequests(state.evacuatedZones, changes, requests);
```
*/
export const applyEvacuationRequests = (
	zones: Set<string>,
	{items, removed, isListing}: KeyChanges,
	{zoneOf}: EvacuationRequests,
): EvacuationChange => {
	const zonesOf = (keys: readonly string[]) => keys.map((key) => zoneOf(key)).filter((zone) => zone !== undefined);
	const requested = zonesOf(items.map(({key}) => key));
	const begun = requested.filter((zone) => !zones.has(zone));
	const ended = isListing
		? [...zones].filter((zone) => !requested.includes(zone))
		: zonesOf(removed).filter((zone) => zones.has(zone));
	for (const zone of ended) {
		zones.delete(zone);
	}

	for (const zone of begun) {
		zones.add(zone);
	}

	return {begun, ended};
};

/** Whether nothing may start on the worker, since its zone is evacuated. */
export const isInEvacuatedZone = ({directory, evacuatedZones}: LeaderState, workerId: string): boolean => {
	const zone = directory.get(workerId)?.availabilityZone;
	return zone !== undefined && evacuatedZones.has(zone);
};

/** Listed workers in evacuated zones. */
export const countEvacuatedWorkers = (state: LeaderState): number =>
	state.evacuatedZones.size === 0
		? 0
		: [...state.directory.keys()].filter((workerId) => isInEvacuatedZone(state, workerId)).length;
