import type {SlotShardRecord} from '@bergamotgauge/model';
import type {Member} from '@bergamotgauge/peer';
import type {Context} from './context.js';
import {isReclaimed, reclaimedHolder} from './slots-plan.js';

/** Shares are reclaimed from a holder that has sent no heartbeat and has not been in the instance list for this long. */
const RECLAIM_AFTER_MS = 10_000;

/** Reclaimed shares stay out of use for this long, which exceeds the time after which the shares of an unconfirmed holder lapse. */
const RECLAIM_HOLD_DOWN_MS = 10_000;

/** An endpoint that is no longer listed keeps its shares for this long, so that no request to it can still be in progress. */
const UNLISTED_RETENTION_MS = 11 * 60 * 1000;

export const holderName = (id: string, incarnation: number): string => `${id}/${incarnation}`;

/** View of the holders of slot shares. */
export type SlotMembers = Readonly<{
	self: string;
	/** Updates when each holder was last seen and each endpoint last listed. */
	updateLastSeen: () => void;
	live: () => readonly string[];
	isLeaving: (holder: string) => boolean;
	/** Moves shares of departed holders to a placeholder holder that keeps them out of use during the hold-down. */
	withReclaimed: (record: SlotShardRecord) => SlotShardRecord;
	/** Drops endpoints that have not been listed for a while. */
	withoutUnlisted: (record: SlotShardRecord) => SlotShardRecord;
}>;

/**
Creates the view of the holders of slot shares.

@example
```ts
const members = createSlotMembers(context, incarnation);
members.live(); // ['q1/1700000000000']
```
*/
export const createSlotMembers = (
	{membership, settings, list, log, state}: Pick<Context, 'membership' | 'settings' | 'list' | 'log' | 'state'>,
	incarnation: number,
): SlotMembers => {
	const self = holderName(settings.id, incarnation);
	const lastSeenMs = new Map<string, number>();
	const lastListed = new Map<string, number>();

	const memberOf = (name: string): Member | undefined =>
		membership.members().find(({id, heartbeat}) => heartbeat && holderName(id, heartbeat.incarnation) === name);

	const isLive = (name: string): boolean => {
		if (name === self) {
			return state() === 'live';
		}

		const member = memberOf(name);
		return member?.heartbeat?.state === 'live' && (member.health === 'alive' || member.health === 'suspect');
	};

	const isLeaving = (name: string): boolean =>
		name === self ? state() === 'leaving' : memberOf(name)?.heartbeat?.state === 'leaving';

	const isDeparted = (name: string): boolean => {
		const [id, holderIncarnation] = name.split('/', 2);
		if (isReclaimed(name) || id === settings.id) {
			return !isReclaimed(name) && name !== self;
		}

		const member = membership.members().find((candidate) => candidate.id === id);
		if ((member?.heartbeat?.incarnation ?? 0) > Number(holderIncarnation)) {
			return true;
		}

		const isListed = list.current().some((entry) => entry.role === 'instance' && entry.id === id);
		if (!lastSeenMs.has(name) || isListed) {
			lastSeenMs.set(name, performance.now());
		}

		return performance.now() - lastSeenMs.get(name)! > RECLAIM_AFTER_MS;
	};

	const updateLastSeen = () => {
		for (const {id, heartbeat, health} of membership.members()) {
			if (heartbeat && health === 'alive') {
				lastSeenMs.set(holderName(id, heartbeat.incarnation), performance.now());
			}
		}

		for (const {id, role} of list.current()) {
			if (role === 'endpoint') {
				lastListed.set(id, performance.now());
			}
		}
	};

	const withReclaimed = (record: SlotShardRecord): SlotShardRecord => {
		const reclaimed = reclaimedHolder(Date.now() + RECLAIM_HOLD_DOWN_MS);
		return {
			endpoints: Object.fromEntries(
				Object.entries(record.endpoints).map(([endpoint, entry]) => {
					const departed = Object.entries(entry.shares).filter(([name]) => isDeparted(name));
					if (departed.length === 0) {
						return [endpoint, entry];
					}

					log.info('slots-reclaimed', {endpoint, from: departed.map(([name]) => name).join(',')});
					const kept = Object.entries(entry.shares).filter(([name]) => !isDeparted(name));
					const count = departed.reduce((sum, [, share]) => sum + share, 0);
					return [endpoint, {...entry, shares: Object.fromEntries([...kept, [reclaimed, count]])}];
				}),
			),
		};
	};

	const withoutUnlisted = (record: SlotShardRecord): SlotShardRecord => ({
		endpoints: Object.fromEntries(
			Object.entries(record.endpoints).filter(([endpoint]) => {
				if (!lastListed.has(endpoint)) {
					lastListed.set(endpoint, performance.now());
				}

				return performance.now() - lastListed.get(endpoint)! < UNLISTED_RETENTION_MS;
			}),
		),
	});

	const live = (): readonly string[] =>
		[
			self,
			...membership.members().flatMap(({id, heartbeat}) => (heartbeat ? [holderName(id, heartbeat.incarnation)] : [])),
		].filter((name) => isLive(name));

	return {self, updateLastSeen, live, isLeaving, withReclaimed, withoutUnlisted};
};
