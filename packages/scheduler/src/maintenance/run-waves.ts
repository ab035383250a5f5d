import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {runKeyWatch, type KeyChanges} from '@bergamotgauge/store';
import {WATCH_PAUSE_MS, WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from '../constants.js';
import {LEADER_KEY, waveKey} from '../keys.js';
import {createWaker} from '../waker.js';
import {drainDeadlinesOf, type ActiveWave} from './active-wave.js';
import {
	MACHINE_LISTING_MAX_AGE_MS,
	MAINTENANCE_ORDER_MS,
	MAINTENANCE_POLL_MS,
	WAVE_WATCH_WAIT_MS,
} from './constants.js';
import {createMachineListings, type CombinedListing} from './machine-listings.js';
import {planWave} from './plan-wave.js';
import type {Machine, Wave, WaveRecord, WavesOptions, WaveState} from './types.js';

/** All machines as listed by the platform. */
type MachineListing = CombinedListing &
	Readonly<{
		/** Time at which the listing was requested. */
		sentMs: number;
		/** Time at which it was received, by `latestNow`. */
		receivedMs: number;
	}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
Runs the operators' maintenance waves until the signal aborts. Each order is stored before it is sent, so that a later leader counts the machine as down and first repeats the order. Orders are idempotent: repeating one has no effect on a machine whose maintenance is done.

@example
```ts
lifecycle.run('waves', async (signal) => runWaves({...options, signal}));
```
*/
export const runWaves = async (options: WavesOptions): Promise<void> => {
	const {
		port,
		records,
		store,
		term,
		log,
		metrics,
		clocks,
		lostWorkOf,
		isProtected,
		setDrainDeadlines,
		orderedWorkers,
		signal,
	} = options;
	const {now, latestNow} = clocks;
	const waves = new Map<number, ActiveWave>();
	let drainDeadlines: ReadonlyMap<string, number> = new Map();
	const listings = createMachineListings();
	const waker = createWaker();
	const startedMs = now();

	/** Whether all orders of earlier leaders are old enough. The last one may have been sent just before this term, and arrive late. */
	const mayOrder = (): boolean => term.number === 1 || now() - startedMs >= options.leaseMs() + MAINTENANCE_ORDER_MS;

	/** Writes a record of the term. A conflict means that another instance leads or that an earlier write has taken effect late. */
	const write = async (
		key: string,
		revision: number,
		value: Uint8Array,
	): Promise<Readonly<{isApplied: boolean; revision: number}>> => {
		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				{key, revision},
			],
			writes: [{key, value}],
		});
		if (result.outcome === 'applied') {
			return {isApplied: true, revision: result.revision};
		}

		const current = result.outcome === 'conflict' ? result.current : [];
		if (current.find((item) => item.key === LEADER_KEY)?.revision !== term.leaderRevision) {
			term.abandon('another instance leads');
		}

		return {isApplied: false, revision: current.find((item) => item.key === key)?.revision ?? 0};
	};

	const storeState = async (active: ActiveWave, state: WaveState): Promise<boolean> => {
		const {number} = active.wave;
		const {isApplied, revision} = await write(
			records.stateKey(number),
			active.stateRevision,
			records.encodeState(state),
		);
		active.stateRevision = revision;
		if (isApplied) {
			log.info('wave-state', {wave: number, state});
		}

		return isApplied;
	};

	const storeRecord = async (active: ActiveWave, record: WaveRecord): Promise<boolean> => {
		const {isApplied, revision} = await write(
			waveKey(active.wave.number),
			active.revision,
			encoder.encode(JSON.stringify(record)),
		);
		active.revision = revision;
		if (isApplied) {
			active.record = record;
		}

		return isApplied;
	};

	const loadWave = async (wave: Wave) => {
		const [item, state] = await Promise.all([
			store.get(waveKey(wave.number)),
			store.get(records.stateKey(wave.number)),
		]);
		const isCompleted = state !== undefined && records.decodeState(state.value) === 'completed';
		const record = item
			? (JSON.parse(decoder.decode(item.value)) as WaveRecord)
			: {startedMs: Date.now(), ordered: [], done: []};
		const active: ActiveWave = {
			wave,
			record,
			revision: item?.revision ?? 0,
			stateRevision: state?.revision ?? 0,
			drainDeadlines: new Map(),
			acceptedMs: new Map(),
			isCompleted,
		};
		waves.set(wave.number, active);
		if (!isCompleted) {
			log.info('wave-taken-up', {wave: wave.number, machines: wave.machineIds.length, maxDown: wave.maxDown});
			if (!state) {
				await storeState(active, 'active');
			}
		}
	};

	const wavesToLoad = new Map<number, Wave>();
	const applyChanges = (changes: KeyChanges) => {
		for (const {key, value} of changes.items) {
			const wave = records.decode(key, value);
			if (wave && !waves.has(wave.number)) {
				wavesToLoad.set(wave.number, wave);
			}
		}

		waker.wake();
	};

	const markDone = async (active: ActiveWave, machineId: string, workerId: string | undefined) => {
		if (workerId !== undefined) {
			orderedWorkers.delete(workerId);
		}

		const {record} = active;
		const ordered = record.ordered.filter((id) => id !== machineId);
		await storeRecord(active, {...record, ordered, done: [...new Set([...record.done, machineId])]});
	};

	/** Whether an order for the machine may rest on the listing; workers are replaced meanwhile. */
	const isCurrent = ({receivedMs, absentIds}: MachineListing, machineId: string): boolean =>
		latestNow() - receivedMs <= MACHINE_LISTING_MAX_AGE_MS && !absentIds.has(machineId);

	/** Orders the maintenance, unless that would end a unit that is protected by now: the decision may be much older than the order. */
	const order = async (active: ActiveWave, machine: Machine, listing: MachineListing) => {
		const maySend = () => term.isValid() && mayOrder() && isCurrent(listing, machine.id) && !isProtected(machine);
		if (!maySend()) {
			return;
		}

		const {wave} = active;
		const {id: machineId, workerId} = machine;
		if (workerId !== undefined) {
			orderedWorkers.add(workerId);
		}

		const reply = await port.maintain({machineId, wave: wave.number, token: term.number}, maySend);
		metrics.count('upkeep_orders_total', {reply});
		log.info('upkeep-order', {wave: wave.number, machine: machineId, reply, term: term.number});
		switch (reply) {
			case 'accepted': {
				active.acceptedMs.set(machineId, now());
				break;
			}

			case 'stale-token': {
				term.abandon('a newer leader has ordered maintenance');
				break;
			}

			case 'no-such-machine':
			case 'not-in-wave': {
				await markDone(active, machineId, workerId);
				break;
			}

			case 'busy':
			case 'limited': {
				// The next step retries the order.
				break;
			}
		}
	};

	/** Marks the ordered machines that are up again as done, and repeats the orders that no response has confirmed. */
	const settleOrders = async (active: ActiveWave, listing: MachineListing) => {
		for (const machineId of active.record.ordered) {
			const acceptedMs = active.acceptedMs.get(machineId);
			const machine = listing.machines.get(machineId);
			const isUp = machine?.state === 'up' && !listing.absentIds.has(machineId);
			const isUpAgain = acceptedMs !== undefined && isUp && listing.sentMs > acceptedMs;
			if (isUpAgain || !machine) {
				await markDone(active, machineId, machine?.workerId);
			} else if (acceptedMs === undefined) {
				await order(active, machine, listing);
			}
		}
	};

	const publishDrains = (machines: ReadonlyMap<string, Machine>) => {
		drainDeadlines = drainDeadlinesOf([...waves.values()], machines, now(), drainDeadlines);
		setDrainDeadlines(drainDeadlines);
	};

	const advance = async (active: ActiveWave, listing: MachineListing) => {
		const {machines} = listing;
		await settleOrders(active, listing);
		const {drain, start, isCompleted} = planWave({
			wave: active.wave,
			record: active.record,
			machines,
			drainDeadlines: active.drainDeadlines,
			lostWorkOf,
			isProtected,
			nowMs: now(),
			wallClockMs: Date.now(),
			maintenanceMs: options.maintenanceMs(),
		});
		// Machines that are due get no new work until their orders are confirmed.
		active.drainDeadlines = new Map([...drain, ...start.map((id) => [id, now()] as const)]);
		publishDrains(machines);
		for (const machineId of start) {
			const {record} = active;
			if (
				mayOrder() &&
				isCurrent(listing, machineId) &&
				(await storeRecord(active, {...record, ordered: [...record.ordered, machineId]}))
			) {
				await order(active, machines.get(machineId)!, listing);
			}
		}

		if (isCompleted) {
			active.isCompleted = await storeState(active, 'completed');
		}
	};

	const step = async () => {
		for (const [number, wave] of wavesToLoad) {
			await loadWave(wave);
			wavesToLoad.delete(number);
		}

		const active = [...waves.values()].filter(({isCompleted}) => !isCompleted);
		if (active.length === 0 || !term.isValid()) {
			return;
		}

		const sentMs = now();
		const listed = await port.list();
		const expectedIds = active.flatMap(({wave}) => wave.machineIds);
		const combined = listings.combine(listed, expectedIds);
		const receivedMs = latestNow();
		for (const activeWave of active) {
			await advance(activeWave, {...combined, sentMs, receivedMs});
		}

		publishDrains(combined.machines);
	};

	const watching = runKeyWatch({
		store,
		prefix: records.prefix,
		waitMs: () => WAVE_WATCH_WAIT_MS,
		pauseMs: () => WATCH_PAUSE_MS,
		retryMinMs: WATCH_RETRY_MIN_MS,
		retryMaxMs: WATCH_RETRY_MAX_MS,
		onChanges: applyChanges,
		now,
		signal,
	});
	while (!signal.aborted) {
		try {
			await step();
		} catch (error) {
			log.warn('wave-step-failed', {error: toServiceError(error, 'may-have-run').message});
			await sleep(MAINTENANCE_POLL_MS, signal);
		}

		const isBusy = wavesToLoad.size > 0 || [...waves.values()].some(({isCompleted}) => !isCompleted);
		await waker.wait(signal, isBusy ? MAINTENANCE_POLL_MS : undefined);
	}

	await watching;
};
