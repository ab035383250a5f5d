import {TextDecoder, TextEncoder} from 'node:util';
import {parseUnitName} from '@bergamotgauge/jobs';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {runKeyWatch, type KeyChanges} from '@bergamotgauge/store';
import {
	CLOCK_RATE_ERROR,
	IDLE_LOOK_MS,
	LEASE_EXPIRY_MARGIN_MS,
	PLAN_DELAY_MS,
	PLAN_INTERVAL_MS,
	DIRECTORY_PAUSE_MS,
	WATCH_PAUSE_MS,
	WATCH_RETRY_MAX_MS,
	WATCH_RETRY_MIN_MS,
	WATCH_WAIT_MS,
} from './constants.js';
import type {Term} from './election.js';
import {
	addDueOccurrences,
	cancelRun,
	createJobRun,
	noteEnd,
	partOf,
	stepOf,
	type JobRun,
	type Part,
} from './job-run.js';
import {createJobTable} from './job-table.js';
import {JOBS_PREFIX, LEADER_KEY, ROSTER_KEY} from './keys.js';
import {allPlaced, createLeaderState, placedByWorker} from './leader-state.js';
import {createPlanView, partIdOf} from './plan-view.js';
import {plan} from './plan/plan.js';
import {publishPendingCounts} from './pending-counts.js';
import {createPlacements} from './placements.js';
import {createProgressWriter} from './progress-writer.js';
import {removeEndedJobs} from './retention.js';
import type {StoreHealth} from './store-health.js';
import type {EndedUnit, SchedulerContext, Worker} from './types.js';
import {createWaker} from './waker.js';
import {noteFailure, noteRefusal, noteStall, noteSuccess} from './worker-evidence.js';
import {createWorkerLink, type WorkerLink} from './worker-link.js';

export type LeaderOptions = Readonly<{
	context: SchedulerContext;
	health: StoreHealth;
	term: Term;
}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

const errorOf = (thrown: unknown): string => toServiceError(thrown, 'may-have-run').message;

/**
Does the work of a leader until the term ends: takes over what runs, places waiting work, and stores what has ended.

@example
```ts
await runLeader({context, health, term});
```
*/
export const runLeader = async ({context, health, term}: LeaderOptions): Promise<void> => {
	const {store, log, metrics, bounds, declarations, decodeWorker, workerPrefix} = context;
	const {now} = health;
	const state = createLeaderState();
	const table = createJobTable(log);
	const waker = createWaker();
	const lifecycle = createLifecycle('term', (task, error, restartMs) => {
		log.error('task-failed', {task, error: error.stack ?? error.message, restartMs});
	});
	const endLifecycle = () => {
		void lifecycle.close();
	};

	term.signal.addEventListener('abort', endLifecycle, {once: true});
	// Leases that an earlier leader gave end by then, whether or not their workers can be reached.
	const earlierLeasesEndMs =
		now() + bounds.maxLeaseMs * (1 + CLOCK_RATE_ERROR + CLOCK_RATE_ERROR ** 2) + LEASE_EXPIRY_MARGIN_MS;
	/** Workers whose earlier runs are not known yet. */
	const unsynced = new Set<string>();
	/** Workers that a later leader will find in the roster. */
	let rostered: ReadonlySet<string> = new Set();
	let rosterRevision = 0;

	const writer = createProgressWriter({
		store,
		term,
		log,
		onStored: table.learn,
		onCancelled(run) {
			stopJob(run, 'cancelled');
		},
	});

	const placements = createPlacements({
		state,
		term: term.number,
		bounds,
		log,
		metrics,
		now,
		signal: term.signal,
		onFreed: waker.wake,
		onBegun: writer.storeLater,
		onRefused(workerId, {reason}) {
			noteRefusal(state, workerId, reason, now());
			waker.wake();
		},
	});

	const stopJob = (run: JobRun, reason: string) => {
		for (const part of run.parts.values()) {
			placements.stop(run, part, reason);
		}
	};

	const storeEnded = async (run: JobRun) => {
		await writer.store([run]).catch((error: unknown) => {
			log.info('outcome-not-stored', {job: run.job.id, error: errorOf(error)});
		});
	};

	const conclude = (run: JobRun) => {
		if (run.outcome) {
			const ageMs = Date.now() - run.job.acceptedMs;
			log.info('job-ended', {
				job: run.job.id,
				outcome: run.outcome,
				queue: run.job.queue,
				customer: run.job.customer,
				ageMs,
				objectiveMs: Math.round(run.objectiveMs),
			});
			metrics.count('jobs_ended_total', {outcome: run.outcome, customer: run.job.customer});
			metrics.observe('job_milliseconds', ageMs, {customer: run.job.customer, class: String(run.job.priority)});
			if (run.outcome !== 'completed') {
				stopJob(run, `job-${run.outcome}`);
			}
		}
	};

	const takeEnd = (link: WorkerLink, end: EndedUnit): JobRun | undefined => {
		const name = parseUnitName(end.unit);
		const run = name && state.runs.get(name.jobId);
		const part = run && partOf(run, name.occurrence, name.step, name.index);
		if (!name || !run || !part) {
			return undefined;
		}

		const placement = part.placements.find(
			(other) => other.workerId === link.worker.id && other.index === name.index && other.run === end.run,
		);
		const hadOutcome = run.outcome !== undefined;
		const effect = noteEnd(run, part, {...end, workerId: link.worker.id, index: name.index}, Date.now());
		log.info('unit-ended', {
			unit: end.unit,
			run: end.run,
			how: end.how,
			worker: link.worker.id,
			effect,
			failures: part.failures,
			ranMs: placement ? Math.round(now() - placement.startedMs) : undefined,
		});
		if (end.how === 'failed' && effect === 'counted') {
			noteFailure(state, link.worker.id, run.job.id, now());
		} else if (end.how === 'done') {
			noteSuccess(state, link.worker.id);
		}

		if (part.placements.length === 0) {
			part.waitingSinceMs = undefined;
		} else if (end.how !== 'done') {
			// The members that are left can only wait for the others.
			placements.stop(run, part, 'gang-broken');
		}

		if (run.outcome && !hadOutcome) {
			conclude(run);
		}

		return run;
	};

	const removeLink = (link: WorkerLink) => {
		if (state.links.get(link.worker.id) === link) {
			state.links.delete(link.worker.id);
		}

		unsynced.delete(link.worker.id);
		placements.dropWorker(link.worker.id);
		waker.wake();
	};

	const openLink = (worker: Worker) => {
		const link = createWorkerLink({
			context,
			worker,
			token: term.number,
			now,
			earlierLeasesEndMs,
			mayOrder: term.isValid,
			events: {
				onReport(from, running, sentMs) {
					unsynced.delete(from.worker.id);
					placements.reconcile(from, running, sentMs);
					waker.wake();
				},
				async onEnds(from, ended) {
					const changed = new Set(ended.map((end) => takeEnd(from, end)).filter((run) => run !== undefined));
					waker.wake();
					await writer.store([...changed]);
				},
				onGone(from, reason) {
					log.info('worker-gone', {worker: from.worker.id, reason});
					removeLink(from);
				},
				onStaleToken() {
					term.abandon('a worker has seen a newer fencing token');
				},
				hasWork: (from) => state.strays.has(from.worker.id) || workersInUse.has(from.worker.id),
			},
		});
		state.links.set(worker.id, link);
		unsynced.add(worker.id);
		lifecycle.run(`worker/${worker.id}`, link.run);
	};

	/** Workers with placements, refreshed by each planning pass. */
	let workersInUse: ReadonlySet<string> = new Set();
	const refreshUse = () => {
		workersInUse = new Set(placedByWorker(state).keys());
		for (const workerId of workersInUse) {
			state.links.get(workerId)?.wake();
		}
	};

	const takeDirectory = (changes: KeyChanges) => {
		const idOf = (key: string): string => key.slice(workerPrefix.length);
		if (changes.isListing) {
			const present = new Set(changes.items.map(({key}) => idOf(key)));
			for (const id of state.directory.keys()) {
				if (!present.has(id)) {
					state.directory.delete(id);
				}
			}
		}

		for (const key of changes.removed) {
			state.directory.delete(idOf(key));
		}

		for (const {key, value} of changes.items) {
			const worker = decodeWorker(key, value);
			if (worker) {
				const known = state.directory.get(worker.id);
				if (known?.state !== worker.state) {
					log.info('worker-listed', {worker: worker.id, state: worker.state, rack: worker.rack, remainingMs: worker.remainingMs});
				}

				state.directory.set(worker.id, worker);
				const link = state.links.get(worker.id);
				if (link) {
					link.worker = worker;
				} else {
					openLink(worker);
				}
			} else {
				log.warn('worker-unreadable', {key});
				state.directory.delete(idOf(key));
			}
		}

		waker.wake();
	};

	const storeRoster = async () => {
		const workers = [...state.links.values()].filter((link) => link.state() !== 'gone').map(({worker}) => worker);
		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				{key: ROSTER_KEY, revision: rosterRevision},
			],
			writes: [{key: ROSTER_KEY, value: encoder.encode(JSON.stringify(workers))}],
		});
		if (result.outcome === 'applied') {
			rosterRevision = result.revision;
			rostered = new Set(workers.map(({id}) => id));
			return;
		}

		const current = result.outcome === 'conflict' ? result.current : [];
		const leader = current.find(({key}) => key === LEADER_KEY);
		if (leader?.revision !== term.leaderRevision) {
			term.abandon('another instance leads');
		}

		rosterRevision = current.find(({key}) => key === ROSTER_KEY)?.revision ?? 0;
	};

	const takeJob = (id: string) => {
		const entry = table.get(id);
		const known = state.runs.get(id);
		if (!entry?.job) {
			return;
		}

		if (!known) {
			if (entry.progress?.outcome && !term.isValid()) {
				return;
			}

			const run = createJobRun({
				job: entry.job,
				progress: entry.progress,
				progressRevision: entry.progressRevision,
				jobRevision: entry.jobRevision,
				isCancelled: entry.cancelRevision > 0,
				nowMs: Date.now(),
			});
			state.runs.set(id, run);
		}

		const run = state.runs.get(id)!;
		if (entry.cancelRevision > 0 && !run.outcome) {
			cancelRun(run, Date.now());
			conclude(run);
			void storeEnded(run);
		}
	};

	const isBlocked = (run: JobRun): boolean =>
		run.jobRevision < term.leaderRevision && unsynced.size > 0 && now() < earlierLeasesEndMs;

	const stopStalled = (run: JobRun, part: Part) => {
		for (const placement of part.placements) {
			const {estimateMs} = stepOf(run, part);
			const limitMs = Math.max(3500, estimateMs * 0.5);
			const isStalled = placement.phase === 'running' && now() - placement.progressMs > limitMs;
			const link = state.links.get(placement.workerId);
			if (isStalled && link?.state() === 'synced') {
				noteStall(state, placement.workerId, now());
				part.avoided.add(placement.workerId);
				placements.stop(run, part, 'stalled');
				return;
			}
		}
	};

	const planOnce = () => {
		let nextDueMs = Number.POSITIVE_INFINITY;
		const partById = new Map<string, readonly [JobRun, Part]>();
		for (const [id, run] of state.runs) {
			if (run.outcome) {
				if (run.storedChanges === run.changes && [...run.parts.values()].every((part) => part.placements.length === 0)) {
					state.runs.delete(id);
				}

				continue;
			}

			nextDueMs = Math.min(nextDueMs, addDueOccurrences(run, Date.now()) ?? Number.POSITIVE_INFINITY);
			for (const part of run.parts.values()) {
				stopStalled(run, part);
				partById.set(partIdOf(run, part), [run, part]);
			}
		}

		const view = createPlanView({
			state,
			declarations: declarations(),
			bounds,
			nowMs: now(),
			todayMs: Date.now(),
			isOrderable: (workerId) => state.links.get(workerId)?.state() === 'synced' && rostered.has(workerId),
			isBlocked,
		});
		const {starts, evictions} = plan(view);
		for (const {partId, workerIds} of starts) {
			const found = partById.get(partId);
			if (found) {
				placements.start(found[0], found[1], workerIds);
			}
		}

		for (const {partId, forPartId} of evictions) {
			const found = partById.get(partId);
			if (found) {
				placements.stop(found[0], found[1], `evicted-for-${forPartId.slice(0, 16)}`);
			}
		}

		refreshUse();
		metrics.gauge('parts_waiting', view.parts.length - starts.length);
		return nextDueMs;
	};

	const planLoop = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			const startedMs = performance.now();
			const isRosterOld = [...state.links.values()].some(
				(link) => link.state() === 'synced' && !rostered.has(link.worker.id),
			);
			if (isRosterOld) {
				await storeRoster().catch((error: unknown) => {
					log.warn('roster-not-stored', {error: errorOf(error)});
				});
			}

			if (!term.isValid()) {
				await sleep(PLAN_DELAY_MS, signal);
				continue;
			}

			for (const worker of state.directory.values()) {
				if (!state.links.has(worker.id)) {
					openLink(worker);
				}
			}

			const nextDueMs = planOnce();
			metrics.observe('plan_milliseconds', performance.now() - startedMs);
			const hasWork = state.runs.size > 0;
			const limitMs = Math.min(hasWork ? PLAN_INTERVAL_MS : IDLE_LOOK_MS, Math.max(1, nextDueMs - Date.now()));
			await Promise.race([waker.wait(signal), sleep(limitMs, signal)]);
			// Changes that come together share one pass.
			await sleep(PLAN_DELAY_MS, signal);
		}
	};

	const follow = async (
		prefix: string,
		pauseMs: number,
		onChanges: (changes: KeyChanges) => void,
		signal: AbortSignal,
	) =>
		runKeyWatch({
			store,
			prefix,
			waitMs: WATCH_WAIT_MS,
			pauseMs,
			retryMinMs: WATCH_RETRY_MIN_MS,
			retryMaxMs: WATCH_RETRY_MAX_MS,
			onChanges,
			onFailure(error) {
				log.debug('watch-failed', {prefix, error: error.message});
			},
			now,
			signal,
		});

	const openRoster = async () => {
		const roster = await store.get(ROSTER_KEY);
		rosterRevision = roster?.revision ?? 0;
		for (const worker of roster ? (JSON.parse(decoder.decode(roster.value)) as readonly Worker[]) : []) {
			openLink(worker);
		}
	};

	const takeJobs = (changes: KeyChanges) => {
		const isFirst = !table.isLoaded();
		table.apply(changes);
		if (isFirst) {
			for (const [id, entry] of table.entries()) {
				if (!entry.progress?.outcome) {
					takeJob(id);
				}
			}

			log.info('taken-over', {term: term.number, jobs: state.runs.size, workers: state.links.size});
			loaded.wake();
		}
	};

	const untilEnded = async () =>
		new Promise<void>((resolve) => {
			term.signal.addEventListener(
				'abort',
				() => {
					resolve();
				},
				{once: true},
			);
			if (term.signal.aborted) {
				resolve();
			}
		});

	const loaded = createWaker();
	try {
		lifecycle.add(
			'table',
			table.events.on('changed', (ids) => {
				for (const id of ids) {
					takeJob(id);
				}

				waker.wake();
			}),
		);
		lifecycle.run('jobs', async (signal) => follow(JOBS_PREFIX, WATCH_PAUSE_MS, takeJobs, signal));
		// Runs that workers report can be judged only with the jobs at hand.
		await loaded.wait(term.signal);
		await openRoster();
		lifecycle.run('directory', async (signal) => follow(workerPrefix, DIRECTORY_PAUSE_MS, takeDirectory, signal));
		lifecycle.run('retention', async (signal) => removeEndedJobs({store, table, term, bounds, log, signal}));
		lifecycle.run('pending', async (signal) => publishPendingCounts({store, table, term, log, signal}));
		lifecycle.run('plan', planLoop);
		await untilEnded();
	} finally {
		term.signal.removeEventListener('abort', endLifecycle);
		await lifecycle.close();
	}
};
