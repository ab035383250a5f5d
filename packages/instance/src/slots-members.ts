import type {SlotShardRecord} from '@bergamotgauge/model';
import type {Member} from '@bergamotgauge/peer';
import type {Context} from './context.js';
import {isReclaimed, reclaimedHolder} from './slots-plan.js';

/** Silence of a holder after which its shares are reclaimed when the instance list does not name it either. */
const RECLAIM_AFTER_MS = 10_000;

/** Reclaimed shares stay out of use for this long; it exceeds the time after which a holder stops by itself. */
const RECLAIM_HOLD_MS = 10_000;

/** An endpoint that is no longer listed keeps its shares until no request to it can be in progress. */
const UNLISTED_KEEP_MS = 11 * 60 * 1000;

export const holderName = (id: string, incarnation: number): string => `${id}/${incarnation}`;

/** What is known of the holders of shares. */
export type SlotMembers = Readonly<{
	self: string;
	/** Notes who is heard and listed now. */
	note: () => void;
	live: () => readonly string[];
	isLeaving: (holder: string) => boolean;
	/** Moves shares of departed holders to a holder that keeps them out of use for a while. */
	withReclaimed: (record: SlotShardRecord) => SlotShardRecord;
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
	const lastHeard = new Map<string, number>();
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
		const [id, started] = name.split('/', 2);
		if (isReclaimed(name) || id === settings.id) {
			return !isReclaimed(name) && name !== self;
		}

		const member = membership.members().find((candidate) => candidate.id === id);
		if ((member?.heartbeat?.incarnation ?? 0) > Number(started)) {
			return true;
		}

		const isListed = list.current().some((entry) => entry.role === 'instance' && entry.id === id);
		if (!lastHeard.has(name) || isListed) {
			lastHeard.set(name, performance.now());
		}

		return performance.now() - lastHeard.get(name)! > RECLAIM_AFTER_MS;
	};

	const note = () => {
		for (const {id, heartbeat, health} of membership.members()) {
			if (heartbeat && health === 'alive') {
				lastHeard.set(holderName(id, heartbeat.incarnation), performance.now());
			}
		}

		for (const {id, role} of list.current()) {
			if (role === 'endpoint') {
				lastListed.set(id, performance.now());
			}
		}
	};

	/** Moves shares of departed holders to a holder that keeps them out of use for a while. */
	const withReclaimed = (record: SlotShardRecord): SlotShardRecord => {
		const until = reclaimedHolder(Date.now() + RECLAIM_HOLD_MS);
		return {
			endpoints: Object.fromEntries(
				Object.entries(record.endpoints).map(([endpoint, entry]) => {
					const gone = Object.entries(entry.shares).filter(([name]) => isDeparted(name));
					if (gone.length === 0) {
						return [endpoint, entry];
					}

					log.info('slots-reclaimed', {endpoint, from: gone.map(([name]) => name).join(',')});
					const kept = Object.entries(entry.shares).filter(([name]) => !isDeparted(name));
					const count = gone.reduce((sum, [, share]) => sum + share, 0);
					return [endpoint, {...entry, shares: Object.fromEntries([...kept, [until, count]])}];
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

				return performance.now() - lastListed.get(endpoint)! < UNLISTED_KEEP_MS;
			}),
		),
	});

	const live = (): readonly string[] =>
		[
			self,
			...membership.members().flatMap(({id, heartbeat}) => (heartbeat ? [holderName(id, heartbeat.incarnation)] : [])),
		].filter((name) => isLive(name));

	return {self, note, live, isLeaving, withReclaimed, withoutUnlisted};
};
