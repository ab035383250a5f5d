import {ABSENT_LISTINGS} from './constants.js';
import type {Machine} from './types.js';

/** The machines as of a listing. */
export type CombinedListing = Readonly<{
	/** Includes machines that the listing lacks, as they were last listed. */
	machines: ReadonlyMap<string, Machine>;
	/** Machines that the listing lacks; no order may rest on what is known of them. */
	absentIds: ReadonlySet<string>;
}>;

/** Combines the listings of the machines. */
export type MachineListings = Readonly<{
	/** Machines of `expectedIds` that `ABSENT_LISTINGS` listings in a row lack count as removed. One that was never listed is taken for down until then. */
	combine: (listed: readonly Machine[], expectedIds: readonly string[]) => CombinedListing;
}>;

/**
Creates the memory of earlier listings. The pages of a listing are no snapshot, so a machine that is missing from one may still exist.

@example
```ts
const listings = createMachineListings();
const {machines, absentIds} = listings.combine(await port.list(), wave.machineIds);
```
*/
export const createMachineListings = (): MachineListings => {
	let known: ReadonlyMap<string, Machine> = new Map();
	let absences: ReadonlyMap<string, number> = new Map();

	return {
		combine(listed, expectedIds) {
			const machines = new Map(listed.map((machine) => [machine.id, machine]));
			const absentIds = new Set(expectedIds.filter((id) => !machines.has(id)));
			absences = new Map([...absentIds].map((id) => [id, (absences.get(id) ?? 0) + 1]));
			for (const [id, count] of absences) {
				if (count < ABSENT_LISTINGS) {
					machines.set(id, known.get(id) ?? {id, pool: '', state: 'down', workerId: undefined});
				}
			}

			known = machines;
			return {machines, absentIds};
		},
	};
};
