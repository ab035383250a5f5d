import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyChanges} from '@bergamotgauge/store';
import type {Clocks} from './clocks.js';
import {CLOCK_RATE_ERROR, RENEWAL_WAIT_MS, LEASE_EXPIRY_MARGIN_MS, SHARED_RENEWAL_WAIT_MS} from './constants.js';
import type {Term} from './election.js';
import {createEndedLinks} from './ended-links.js';
import {createLateStartProbe} from './late-start-probe.js';
import {pendingLateStarts} from './late-starts.js';
import type {LeaderState} from './leader-state.js';
import {partIdsByWorker, type RosterEntry} from './roster.js';
import {createStoredRoster} from './stored-roster.js';
import type {EndedUnit, RunningUnit, SchedulerContext, Worker} from './types.js';
import {createWorkerDirectory} from './worker-directory.js';
import {createWorkerLink} from './worker-link.js';
import type {ReportDetails, WorkerEnd, WorkerLink} from './worker-link-types.js';

export type WorkerFleetOptions = Readonly<{
	context: SchedulerContext;
	term: Term;
	state: LeaderState;
	lifecycle: Lifecycle;
	clocks: Clocks;
	/** Called with all active runs of a worker. */
	onReport: (link: WorkerLink, running: readonly RunningUnit[], details: ReportDetails) => void;
	/** Called with the progress of a worker's active runs. */
	onProgress: (link: WorkerLink, running: readonly RunningUnit[], details: ReportDetails) => void;
	/** Called with newly ended runs; resolves when they are stored. */
	onEnds: (link: WorkerLink, ended: readonly EndedUnit[]) => Promise<void>;
	/** Called when a worker incarnation, or its lease, has ended, so that nothing runs on it any more. */
	onGone: (link: WorkerLink, end: WorkerEnd) => void;
	/** Called with each link that is opened, before it is synced. */
	onOpened: (link: WorkerLink) => void;
	/** Called when workers are added, removed or changed. */
	onChanged: () => void;
}>;

/** The workers of a term: those in the directory and those that earlier leaders used. */
export type WorkerFleet = Readonly<{
	/** Opens links to the workers that earlier leaders may have granted leases to; none if the term ends before the roster is read. */
	openRoster: () => Promise<void>;
	applyDirectoryChanges: (changes: KeyChanges) => void;
	/** Reopens links to listed workers whose leases have ended, since they may respond again; the store may list a worker that has ended for a while. */
	reopen: () => void;
	/** Whether the stored roster differs from what a later leader has to know. */
	isRosterStale: () => boolean;
	storeRoster: () => Promise<void>;
	isOrderable: (workerId: string) => boolean;
	/** Whether a run ordered by an earlier leader may exist, or have ended, on a worker that has not listed all its ends yet. */
	mayRunPart: (partId: string) => boolean;
	/** Sets the workers that run both latency-sensitive and best-effort units, which are asked to report more often. */
	setShared: (workerIds: ReadonlySet<string>) => void;
	/** Sets the workers that have placements, whose leases are renewed. */
	setInUse: (workerIds: ReadonlySet<string>) => void;
}>;

/**
Creates the fleet of a term.

@example
```ts
const fleet = createWorkerFleet({context, term, state, lifecycle, clocks, onReport, onProgress, onEnds, onGone, onOpened, onChanged});
await fleet.openRoster();
```
*/
export const createWorkerFleet = (options: WorkerFleetOptions): WorkerFleet => {
	const {context, term, state, lifecycle, clocks, onReport, onProgress, onEnds, onGone, onOpened, onChanged} = options;
	const {store, log, bounds} = context;
	const {now} = clocks;
	// Leases granted by an earlier leader have expired by then, whether or not their workers are reachable.
	const earlierLeasesEndMs =
		now() + bounds.maxLeaseMs * (1 + CLOCK_RATE_ERROR + CLOCK_RATE_ERROR ** 2) + LEASE_EXPIRY_MARGIN_MS;
	/** Workers whose runs from earlier terms are not known yet: they have not listed all their ends to this leader. */
	const unsynced = new Set<string>();
	const storedRoster = createStoredRoster({store, log, term});
	let inUse: ReadonlySet<string> = new Set();
	let shared: ReadonlySet<string> = new Set();

	const endedLinks = createEndedLinks(now);
	const lateStartProbe = createLateStartProbe({context, term, state, lifecycle, now});

	const removeLink = (link: WorkerLink, workerEnd: WorkerEnd) => {
		const {reason, successorMs} = workerEnd;
		const {id, address} = link.worker;
		endedLinks.record({id, address, startedMs: link.startedMs()}, {mayAnswer: reason !== 'other-life'});
		if (state.links.get(link.worker.id) === link) {
			state.links.delete(link.worker.id);
		}

		unsynced.delete(id);
		onGone(link, workerEnd);
		if (reason === 'lease-ended') {
			directory.forget(id);
		} else {
			// The next incarnation may be another machine.
			state.workerHealth.delete(id);
			directory.recordEnd(id, successorMs);
		}

		onChanged();
	};

	const createLink = (worker: Worker): WorkerLink =>
		createWorkerLink({
			context,
			worker,
			token: term.number,
			clocks,
			earlierLeasesEndMs,
			mayOrder: term.isValid,
			events: {
				onReport(from, running, details) {
					const {id} = from.worker;
					if (from.hasListedAll()) {
						unsynced.delete(id);
					}

					directory.confirm(id, from.startedMs());
					onReport(from, running, details);
				},
				onProgress(from, running, details) {
					directory.confirm(from.worker.id, from.startedMs());
					onProgress(from, running, details);
				},
				onEnds,
				onGone(from, workerEnd) {
					const {reason} = workerEnd;
					const silentMs = from.silentSinceMs();
					log.info('worker-gone', {
						worker: from.worker.id,
						reason,
						state: from.worker.state,
						silentMs: silentMs === undefined ? undefined : Math.round(now() - silentMs),
					});
					context.metrics.count('workers_gone_total', {reason, state: from.worker.state});
					removeLink(from, workerEnd);
				},
				onStaleToken() {
					term.abandon('a worker has seen a newer fencing token');
				},
				renewalWaitMs: ({worker}) => (shared.has(worker.id) ? SHARED_RENEWAL_WAIT_MS : RENEWAL_WAIT_MS),
				// An idle worker with late starts is asked too, so that its crash is noticed at once.
				hasWork: ({worker: {id}}) =>
					state.orphanedRuns.has(id) ||
					inUse.has(id) ||
					state.placementIndex.byWorker.has(id) ||
					pendingLateStarts(state, id, now()).length > 0,
				onSilent: lateStartProbe.watch,
			},
		});

	/** One worker that cannot be called must not keep the others from being used. */
	const reportUnusable = ({id, address}: Worker, error: unknown) => {
		log.error('worker-unusable', {worker: id, address, error: toServiceError(error, 'not-run').message});
	};

	const openLink = (worker: Worker) => {
		let link: WorkerLink;
		try {
			link = createLink(worker);
		} catch (error) {
			reportUnusable(worker, error);
			endedLinks.record(worker, {mayAnswer: false});
			return;
		}

		state.links.set(worker.id, link);
		unsynced.add(worker.id);
		lifecycle.run(`worker/${worker.id}`, link.run);
		onOpened(link);
	};

	/**
	Applies a report to a link. The worker is called where it has answered, since a report may give the address of another one, whose refusal would show that this one has ended.
	*/
	const updateLink = (link: WorkerLink, worker: Worker) => {
		const {id, address} = link.worker;
		if (worker.address === address || link.state() !== 'unsynced' || storedRoster.mayHaveRuns(id)) {
			link.worker = {...worker, address};
			return;
		}

		try {
			link.readdress(worker);
		} catch (error) {
			reportUnusable(worker, error);
		}
	};

	const directory = createWorkerDirectory({
		context,
		state,
		term,
		now,
		onListed(worker) {
			const link = state.links.get(worker.id);
			if (link) {
				updateLink(link, worker);
			} else if (endedLinks.mayReopen(worker)) {
				openLink(worker);
			}
		},
	});

	const isSynced = (link: WorkerLink): boolean => link.state() === 'synced';

	const acceptsOrders = (link: WorkerLink): boolean => isSynced(link) && link.worker.state === 'ready';

	/** The entry of the earlier leader for a worker that has not listed all its ends to this one; without one it has had no orders. */
	const earlierEntryOf = ({worker}: WorkerLink): RosterEntry | undefined =>
		unsynced.has(worker.id) ? storedRoster.get(worker.id) : undefined;

	const rosterEntries = (): readonly RosterEntry[] => {
		const links = [...state.links.values()].filter((link) => link.state() !== 'gone');
		const withoutOrders = links.filter((link) => !acceptsOrders(link) && !earlierEntryOf(link));
		const partIds = partIdsByWorker(state, new Set(withoutOrders.map(({worker}) => worker.id)));
		return links.map((link) => {
			const worker = {...link.worker, startedMs: link.startedMs()};
			if (acceptsOrders(link)) {
				return {worker};
			}

			return earlierEntryOf(link) ?? {worker, partIds: [...(partIds.get(worker.id) ?? [])]};
		});
	};

	return {
		async openRoster() {
			for (const worker of await storedRoster.read()) {
				openLink(worker);
			}
		},
		applyDirectoryChanges(changes) {
			directory.apply(changes);
			onChanged();
		},
		reopen() {
			for (const worker of state.directory.values()) {
				if (!state.links.has(worker.id) && endedLinks.mayReopen(worker)) {
					openLink(worker);
				}
			}
		},
		// A new leader waits for the leases of unreachable workers to expire unless the roster says what they run.
		isRosterStale: () =>
			[...storedRoster.workerIds()].some((id) => !state.links.has(id)) ||
			[...state.links].some(([id, link]) => !unsynced.has(id) && acceptsOrders(link) !== storedRoster.isOrderable(id)),
		async storeRoster() {
			await storedRoster.store(rosterEntries());
		},
		isOrderable(workerId) {
			const link = state.links.get(workerId);
			return link !== undefined && acceptsOrders(link) && storedRoster.isOrderable(workerId);
		},
		mayRunPart(partId) {
			if (unsynced.size === 0) {
				return false;
			}

			// The lease of a worker that has answered is renewed, so that its ends still count after the leases of earlier leaders.
			const areEarlierLeasesValid = now() < earlierLeasesEndMs;
			return [...unsynced].some(
				(id) =>
					(areEarlierLeasesValid || state.links.get(id)?.state() !== 'unsynced') && storedRoster.mayRunPart(id, partId),
			);
		},
		setShared(workerIds) {
			shared = workerIds;
		},
		setInUse(workerIds) {
			inUse = workerIds;
			for (const workerId of workerIds) {
				state.links.get(workerId)?.wake();
			}
		},
	};
};
