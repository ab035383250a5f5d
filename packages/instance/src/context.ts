import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {BUNDLE_KEY, type Bundle, type JobRecord, type JobShardRecord, type RackRecord} from '@bergamotgauge/model';
import {ownerOf, type MemberState, type Membership} from '@bergamotgauge/peer';
import type {Entry, InstanceList, Replica, Store} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {Settings} from './types.js';

/** Dependencies shared by the components of one instance. */
export type Context = Readonly<{
	settings: Settings;
	lifecycle: Lifecycle;
	log: Log;
	metrics: Metrics;
	store: Store;
	replica: Replica;
	list: InstanceList;
	membership: Membership;
	state: () => MemberState;
	/** Applies a write of this instance to its replica and propagates it to the other instances. */
	publish: (entry: Entry<unknown>) => void;
}>;

/** The configuration in force. */
export const bundleOf = (replica: Replica): Bundle | undefined => replica.get(BUNDLE_KEY).value as Bundle | undefined;

/** Whether this instance owns a key now, according to its own view of the membership. */
export const isOwner = (context: Context, key: string): boolean =>
	ownerOf(key, context.membership.owners()) === context.settings.id;

/** All jobs in the replica. */
export const allJobs = (replica: Replica): readonly JobRecord[] =>
	replica.list('jobs/').flatMap((entry) => Object.values((entry.value as JobShardRecord).jobs));

/** Rack records in the replica by rack name. */
export const allRacks = (replica: Replica): ReadonlyMap<string, RackRecord> =>
	new Map(
		replica.list('racks/').map((entry) => {
			const record = entry.value as RackRecord;
			return [record.rack, record];
		}),
	);

/** An empty record for a rack that has none in the store. */
export const emptyRack = (rack: string): RackRecord => ({rack, epoch: 0, homes: [], placements: [], quarantines: []});
