import {createBackoff, sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyChanges} from '@bergamotgauge/store';
import {DEFAULT_REMAINING_MS, PROGRESS_POLL_DEADLINE_MS, WORKER_RETRY_MAX_MS, WORKER_RETRY_MS} from './constants.js';
import type {Term} from './election.js';
import {workerHealthOf, type LeaderState} from './leader-state.js';
import type {SchedulerContext, Worker} from './types.js';
import type {WorkerLink} from './worker-link-types.js';

export type WorkerDirectoryOptions = Readonly<{
	context: Pick<SchedulerContext, 'connectWorker' | 'decodeWorker' | 'log' | 'workerPrefix'>;
	state: LeaderState;
	term: Term;
	now: () => number;
	/** Called with each report that describes a worker. */
	onListed: (worker: Worker) => void;
}>;

/**
The reports of the workers, as the store lists them. Any writer may have written a report, so only an answer of the worker itself shows which incarnation is there.
*/
export type WorkerDirectory = Readonly<{
	apply: (changes: KeyChanges) => void;
	/** Records the start time that a worker has given in an answer. */
	confirm: (workerId: string, startedMs: number | undefined) => void;
	/** Records that an incarnation has ended; `successorMs` is the start time that the next one has given. */
	recordEnd: (workerId: string, successorMs: number | undefined) => void;
	/** Forgets which incarnation was there, after a time in which the worker did not answer. */
	forget: (workerId: string) => void;
}>;

/**
Creates the directory of a term.

@example
```ts
const directory = createWorkerDirectory({context, state, term, now, onListed});
directory.apply(await store.list(workerPrefix));
```
*/
export const createWorkerDirectory = (options: WorkerDirectoryOptions): WorkerDirectory => {
	const {context, state, term, now, onListed} = options;
	const {connectWorker, decodeWorker, log, workerPrefix} = context;
	/** Start times that the workers have given. */
	const startTimes = new Map<string, number>();
	/** Reports of a later incarnation than the one that answers, until the worker has been asked. */
	const claims = new Map<string, Worker>();
	const asking = new Set<string>();

	const idOf = (key: string): string => key.slice(workerPrefix.length);

	const list = (worker: Worker) => {
		const {id, rack, remainingMs, startedMs} = worker;
		if (state.directory.get(id)?.state !== worker.state) {
			log.info('worker-listed', {worker: id, state: worker.state, rack, remainingMs, startedMs});
		}

		const health = workerHealthOf(state, id);
		health.drainDeadlineMs =
			worker.state === 'draining'
				? (health.drainDeadlineMs ?? now() + (remainingMs ?? DEFAULT_REMAINING_MS))
				: undefined;
		state.directory.set(id, worker);
		onListed(worker);
	};

	/** Asks for the start time at the address of a report, on a connection of its own, and ends the link if it is that of the report. */
	const askAt = async (worker: Worker, link: WorkerLink) => {
		const {id, address, startedMs} = worker;
		try {
			const port = connectWorker(worker);
			try {
				const report = await withDeadline(PROGRESS_POLL_DEADLINE_MS, async (signal) =>
					port.renewLease({token: term.number, acknowledgedSequence: 0, waitMs: 0}, {signal, maySend: term.isValid}),
				);
				if (report.outcome === 'accepted' && report.startedMs === startedMs && state.links.get(id) === link) {
					link.replace(startedMs);
				}
			} finally {
				port.close();
			}
		} catch (error) {
			log.debug('claim-unanswered', {worker: id, address, error: toServiceError(error, 'may-have-run').message});
		}
	};

	/** Asks the worker, where it has answered and where the report says it is, until one of them answers or the link ends. */
	const verifyClaim = async (link: WorkerLink) => {
		const {id} = link.worker;
		if (asking.has(id)) {
			return;
		}

		asking.add(id);
		const backoff = createBackoff({minMs: WORKER_RETRY_MS, maxMs: WORKER_RETRY_MAX_MS});
		for (;;) {
			const claim = claims.get(id);
			if (!claim || term.signal.aborted || state.links.get(id) !== link) {
				break;
			}

			// A link that is not synced sends no poll, and its next renewal may have to wait for one to the earlier incarnation.
			const mustAsk = claim.address !== link.worker.address || link.state() !== 'synced';
			await Promise.all([link.pollProgress(), mustAsk && askAt(claim, link)]);
			if (claims.has(id)) {
				await sleep(backoff.next(), term.signal);
			}
		}

		asking.delete(id);
	};

	const update = (worker: Worker) => {
		const {id, address, startedMs} = worker;
		const confirmedMs = startTimes.get(id);
		if (startedMs === undefined || confirmedMs === undefined || startedMs === confirmedMs) {
			claims.delete(id);
			list(worker);
			return;
		}

		if (startedMs < confirmedMs) {
			// A report of an earlier incarnation was written late.
			log.info('worker-outdated', {worker: id, startedMs, latestMs: confirmedMs});
			return;
		}

		const link = state.links.get(id);
		if (!link) {
			list(worker);
			return;
		}

		log.info('worker-claimed', {worker: id, address, startedMs, latestMs: confirmedMs});
		claims.set(id, worker);
		void verifyClaim(link);
	};

	const applyReport = (key: string, value: Uint8Array) => {
		const worker = decodeWorker(key, value);
		if (worker) {
			update(worker);
		} else {
			log.warn('worker-unreadable', {key});
			state.directory.delete(idOf(key));
		}
	};

	const removeMissing = (present: ReadonlySet<string>) => {
		for (const id of state.directory.keys()) {
			if (!present.has(id)) {
				state.directory.delete(id);
			}
		}
	};

	return {
		apply(changes) {
			if (changes.isListing) {
				removeMissing(new Set(changes.items.map(({key}) => idOf(key))));
			}

			for (const key of changes.removed) {
				state.directory.delete(idOf(key));
			}

			for (const {key, value} of changes.items) {
				try {
					applyReport(key, value);
				} catch (error) {
					// The watch would repeat all changes if one of them failed, and no worker would be followed any more.
					log.error('worker-not-applied', {key, error: toServiceError(error, 'not-run').message});
					state.directory.delete(idOf(key));
				}
			}
		},
		confirm(workerId, startedMs) {
			if (startedMs === undefined) {
				return;
			}

			startTimes.set(workerId, startedMs);
			claims.delete(workerId);
			const listedMs = state.directory.get(workerId)?.startedMs;
			if (listedMs !== undefined && listedMs !== startedMs) {
				// The next report of the worker itself describes it.
				state.directory.delete(workerId);
			}
		},
		recordEnd(workerId, successorMs) {
			const claim = claims.get(workerId);
			claims.delete(workerId);
			if (successorMs === undefined) {
				return;
			}

			startTimes.set(workerId, successorMs);
			const listedMs = state.directory.get(workerId)?.startedMs;
			if (listedMs !== undefined && listedMs !== successorMs) {
				state.directory.delete(workerId);
			}

			if (claim?.startedMs === successorMs) {
				list(claim);
			}
		},
		forget(workerId) {
			startTimes.delete(workerId);
			claims.delete(workerId);
		},
	};
};
