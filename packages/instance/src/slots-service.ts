import {sleep} from '@bergamotgauge/lifecycle';
import {
	matchesSelector,
	SLOT_SHARD_COUNT,
	slotShardKey,
	type Bundle,
	type ListedInstance,
	type Service,
	type SlotShardRecord,
} from '@bergamotgauge/model';
import {ownerOf, type Handlers} from '@bergamotgauge/peer';
import {bundleOf, isOwner, type Context} from './context.js';
import {
	createSlotHolder,
	type ReleaseReply,
	type ReleaseRequest,
	type SlotHolder,
	type SlotHolderOptions,
} from './slots-holder.js';
import {createSlotMembers} from './slots-members.js';
import {
	isReclaimed,
	planShares,
	settleShares,
	sumOfShares,
	targetShares,
	withoutExpiredReclaims,
} from './slots-plan.js';
import {createWaker, type Waker} from './waker.js';

const REBALANCE_INTERVAL_MS = 1000;

/** Unchanged demand is sent again after this time. */
const DEMAND_REFRESH_MS = 3000;

/** Demand reports older than this are ignored. */
const DEMAND_LIFETIME_MS = 10_000;

/** Samples over which the maximum demand is reported, so that a short idle period releases no slots. */
const DEMAND_SAMPLE_COUNT = 5;

const EMPTY_RECORD: SlotShardRecord = {endpoints: {}};

const SHARD_KEYS = Array.from({length: SLOT_SHARD_COUNT}, (_, index) => `slots/${String(index).padStart(2, '0')}`);

type DemandMessage = Readonly<{
	holder: string;
	/** Slots in use and requests waiting, by service. */
	demand: Readonly<Record<string, number>>;
	/** Shards with a release that was not followed by a write in time. */
	stuck: readonly string[];
}>;

type DemandReport = Readonly<{demand: Readonly<Record<string, number>>; atMs: number}>;

export type SlotService = SlotHolder &
	Readonly<{
		handlers: Handlers;
		/** Triggers a rebalance pass soon. */
		wake: () => void;
		/** Removes this instance's shares from the records; called at the end of a graceful shutdown. */
		handOver: () => Promise<void>;
		start: () => void;
	}>;

export type SlotServiceOptions = Pick<SlotHolderOptions, 'slotsInUseOf'> &
	Readonly<{
		context: Context;
		incarnation: number;
		/** Highest number of slots in use and waiting requests since the last call, by service. */
		takeDemand: () => ReadonlyMap<string, number>;
		/** Called when the usable shares may have changed. */
		onChange: () => void;
	}>;

/** Groups the listed endpoints by the service whose slot limit applies to them. */
const endpointsByService = (
	bundle: Bundle | undefined,
	list: readonly ListedInstance[],
): ReadonlyMap<Service, readonly string[]> => {
	const groups = new Map<Service, string[]>();
	const services = (bundle?.services ?? []).toSorted((a, b) => a.name.localeCompare(b.name));
	for (const {role, id, labels} of list) {
		const service =
			role === 'endpoint' && services.find(({endpointSelector}) => matchesSelector(endpointSelector, labels));
		if (service) {
			groups.set(service, [...(groups.get(service) ?? []), id]);
		}
	}

	return groups;
};

const sumMatchingShares = (
	record: SlotShardRecord,
	endpoints: readonly string[],
	test: (holder: string) => boolean,
): number =>
	endpoints
		.flatMap((endpoint) => Object.entries(record.endpoints[endpoint]?.shares ?? {}))
		.filter(([holder]) => test(holder))
		.reduce((sum, [, share]) => sum + share, 0);

/**
Creates the service that tracks one instance's shares of endpoint slots and rebalances the shards that it owns.

@example
```ts
const slots = createSlotService({context, incarnation, slotsInUseOf, takeDemand, onChange});
slots.start();
```
*/
export const createSlotService = (options: SlotServiceOptions): SlotService => {
	const {context, incarnation, slotsInUseOf, takeDemand, onChange} = options;
	const {membership, replica, settings, store, list, log, metrics} = context;
	const members = createSlotMembers(context, incarnation);
	const {self, isLeaving} = members;
	const holder = createSlotHolder({holder: self, replica, slotsInUseOf});
	const waker: Waker = createWaker();
	const demandReports = new Map<string, DemandReport>();
	const lastWrite = new Map<string, number>();
	const forcedWrites = new Set<string>();
	const demandSamples: Array<ReadonlyMap<string, number>> = [];
	let lastSent = {text: '', atMs: 0};

	const demandOf = (name: string, service: string): number => {
		const report = demandReports.get(name);
		return report && performance.now() - report.atMs < DEMAND_LIFETIME_MS ? (report.demand[service] ?? 0) : 0;
	};

	const planService = (record: SlotShardRecord, service: Service, serviceEndpoints: readonly string[], key: string) => {
		const endpoints = serviceEndpoints.filter((endpoint) => slotShardKey(endpoint) === key);
		if (endpoints.length === 0) {
			return record;
		}

		const live = members.live();
		const isFixed = (name: string) => !live.includes(name) && !isLeaving(name);
		const capacity = endpoints.length * service.slots - sumMatchingShares(record, endpoints, isFixed);
		const fraction = endpoints.length / serviceEndpoints.length;
		const demand = new Map(live.map((name) => [name, demandOf(name, service.name) * fraction]));
		const current = new Map(
			live.map((name) => [name, sumMatchingShares(record, endpoints, (other) => other === name)]),
		);
		const targets = new Map(targetShares({current, demand, capacity: Math.max(0, capacity)}));
		const leaving = endpoints
			.flatMap((endpoint) => Object.keys(record.endpoints[endpoint]?.shares ?? {}))
			.filter((name) => isLeaving(name));
		for (const name of leaving) {
			targets.set(name, 0);
		}

		return planShares(record, {slots: new Map(endpoints.map((endpoint) => [endpoint, service.slots])), targets});
	};

	const requestRelease = async (name: string, request: ReleaseRequest, key: string): Promise<ReleaseReply> => {
		if (name === self) {
			return holder.release(request);
		}

		try {
			const link = membership.link(name.split('/', 1)[0]!);
			return ((await link?.call('slots.release', request)) as ReleaseReply | undefined) ?? {limits: {}};
		} catch {
			// The holder may have agreed although its reply was lost; a write ends its agreed limit.
			forcedWrites.add(key);
			return {limits: {}};
		}
	};

	const requestReleases = async (record: SlotShardRecord, planned: SlotShardRecord, revision: number, key: string) => {
		const targets = new Map<string, Record<string, number>>();
		for (const [endpoint, {shares}] of Object.entries(record.endpoints)) {
			for (const [name, share] of Object.entries(shares)) {
				const next = planned.endpoints[endpoint]?.shares[name] ?? 0;
				if (next < share && !isReclaimed(name)) {
					targets.set(name, {...targets.get(name), [endpoint]: next});
				}
			}
		}

		const limits = new Map<string, number>();
		await Promise.all(
			[...targets].map(async ([name, byEndpoint]) => {
				const reply = await requestRelease(name, {revision, targets: byEndpoint}, key);
				for (const [endpoint, limit] of Object.entries(reply.limits)) {
					limits.set(`${endpoint} ${name}`, limit);
				}
			}),
		);
		if (targets.size > 0) {
			onChange();
		}

		return (endpoint: string, name: string) => limits.get(`${endpoint} ${name}`);
	};

	const rebalance = async (key: string): Promise<void> => {
		const entry = replica.get(key);
		const before = (entry.value ?? EMPTY_RECORD) as SlotShardRecord;
		const cleaned = members.withReclaimed(withoutExpiredReclaims(members.withoutUnlisted(before), Date.now()));
		let planned = cleaned;
		for (const [service, endpoints] of endpointsByService(bundleOf(replica), list.current())) {
			planned = planService(planned, service, endpoints, key);
		}

		const agreed = await requestReleases(cleaned, planned, entry.revision, key);
		const next = settleShares(cleaned, planned, agreed);
		if (JSON.stringify(next) === JSON.stringify(before) && !forcedWrites.has(key)) {
			return;
		}

		const isShrinking = Object.values(next.endpoints).some((endpoint) => sumOfShares(endpoint) > endpoint.slots);
		metrics.count('slots_writes_total', {kind: isShrinking ? 'shrinking' : 'balanced'});
		lastWrite.set(key, performance.now());
		const result = await store.put(key, next, entry.revision);
		if (result.outcome === 'applied') {
			forcedWrites.delete(key);
			context.publish({key, revision: result.revision, value: next});
		} else if (result.outcome === 'conflict') {
			context.publish(result.current);
		}
	};

	const sendDemand = () => {
		demandSamples.push(takeDemand());
		if (demandSamples.length > DEMAND_SAMPLE_COUNT) {
			demandSamples.shift();
		}

		const services = new Set(demandSamples.flatMap((sample) => [...sample.keys()]));
		const demand = Object.fromEntries(
			[...services].map((service) => [service, Math.max(...demandSamples.map((sample) => sample.get(service) ?? 0))]),
		);
		const message: DemandMessage = {holder: self, demand, stuck: holder.stuckShards()};
		demandReports.set(self, {demand, atMs: performance.now()});
		const text = JSON.stringify(message);
		if (text === lastSent.text && performance.now() - lastSent.atMs < DEMAND_REFRESH_MS) {
			return;
		}

		lastSent = {text, atMs: performance.now()};
		const owners = new Set(SHARD_KEYS.map((key) => ownerOf(key, membership.owners())));
		for (const owner of owners) {
			if (owner !== undefined && owner !== settings.id) {
				membership.link(owner)?.notify('slots.demand', message);
			}
		}
	};

	const runRebalancing = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			members.updateLastSeen();
			const due = SHARD_KEYS.filter(
				(key) =>
					isOwner(context, key) &&
					!holder.isLapsed() &&
					performance.now() - (lastWrite.get(key) ?? -Infinity) >= REBALANCE_INTERVAL_MS,
			);
			await Promise.all(due.map(async (key) => rebalance(key)));
			await waker.wait(REBALANCE_INTERVAL_MS / 2, signal);
			await sleep(50, signal);
		}
	};

	/** Reports demand, and reads the records from the store while the instance list does not confirm this instance. */
	const runConfirmation = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			await sleep(REBALANCE_INTERVAL_MS, signal);
			sendDemand();
			const isListed = list.current().some(({role, id}) => role === 'instance' && id === settings.id);
			if (isListed && !holder.isLapsed()) {
				continue;
			}

			try {
				const {entries} = await store.list('slots/');
				for (const entry of entries) {
					replica.applyEntry(entry);
				}

				holder.confirmByStore();
			} catch (error) {
				log.debug('slots-unconfirmed', {error: String(error)});
			}

			onChange();
		}
	};

	return {
		...holder,
		wake: waker.wake,
		handlers: {
			requests: {
				'slots.release'(body) {
					const reply = holder.release(body as ReleaseRequest);
					onChange();
					return reply;
				},
			},
			events: {
				'slots.demand'(body) {
					const {holder: name, demand, stuck} = body as DemandMessage;
					demandReports.set(name, {demand, atMs: performance.now()});
					for (const key of stuck) {
						forcedWrites.add(key);
					}
				},
			},
		},
		async handOver() {
			holder.stop();
			onChange();
			for (const key of SHARD_KEYS) {
				const entry = replica.get(key);
				const record = (entry.value ?? EMPTY_RECORD) as SlotShardRecord;
				const endpoints = Object.fromEntries(
					Object.entries(record.endpoints).map(([endpoint, {slots, shares}]) => [
						endpoint,
						{slots, shares: Object.fromEntries(Object.entries(shares).filter(([name]) => name !== self))},
					]),
				);
				if (JSON.stringify(endpoints) === JSON.stringify(record.endpoints)) {
					continue;
				}

				try {
					const result = await store.put(key, {endpoints}, entry.revision);
					if (result.outcome === 'applied') {
						context.publish({key, revision: result.revision, value: {endpoints}});
					}
				} catch (error) {
					// Without this write the other instances reclaim the shares later.
					log.warn('slots-not-handed-over', {shard: key, error: String(error)});
				}
			}
		},
		start() {
			replica.events.on('changed', (data) => {
				if (data.some(({key}) => key.startsWith('slots/'))) {
					onChange();
				} else if (data.some(({key}) => key.startsWith('config/'))) {
					waker.wake();
				}
			});
			list.events.on('changed', waker.wake);
			membership.events.on('changed', waker.wake);
			context.lifecycle.run('slots', runRebalancing);
			context.lifecycle.run('slots-confirmation', runConfirmation);
		},
	};
};
