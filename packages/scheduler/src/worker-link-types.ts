import type {Clocks} from './clocks.js';
import type {EndedUnit, RunningUnit, SchedulerContext, Worker} from './types.js';
import type {OrderResult} from './worker-orders.js';

export type WorkerLinkState =
	/** The worker has not responded to this leader yet. */
	| 'unsynced'
	/** The worker responds, and has not listed all its ends to this leader yet. */
	| 'syncing'
	| 'synced'
	/** The latest lease renewals got no response. */
	| 'silent'
	/** The worker incarnation or its lease has ended. */
	| 'gone';

/** How a link ends: another incarnation responds, or no lease of the worker can be valid any more. */
export type WorkerEnd = Readonly<
	| {
			reason: 'other-life';
			/** Start time of the next incarnation under the same id; `undefined` if the id has gone. */
			successorMs: number | undefined;
	  }
	/** Another incarnation responds under the same id, which only its ends show. */
	| {reason: 'renumbered'; successorMs?: undefined}
	| {reason: 'lease-ended'; successorMs?: undefined}
>;

/** What is known of a report beside its lists. */
export type ReportDetails = Readonly<{
	/** Time at which the report was requested, on this instance's clock. */
	sentMs: number;
	/** Estimate of the time at which the worker composed it, on this instance's clock. */
	composedMs: number;
	/** Whether a run that the report lists neither as active nor as ended is not on the worker; otherwise its end may follow. */
	listsAllEnds: boolean;
}>;

export type WorkerLinkEvents = Readonly<{
	/** Called with all active runs of the worker after each lease renewal. */
	onReport: (link: WorkerLink, running: readonly RunningUnit[], details: ReportDetails) => void;
	/** Called with the active runs after a progress poll. */
	onProgress: (link: WorkerLink, running: readonly RunningUnit[], details: ReportDetails) => void;
	/** Called with newly ended runs; resolves when they are stored. */
	onEnds: (link: WorkerLink, ended: readonly EndedUnit[]) => Promise<void>;
	/** Called when none of the runs that this leader knows of exists any more. */
	onGone: (link: WorkerLink, end: WorkerEnd) => void;
	/** Called when the worker has seen a newer fencing token. */
	onStaleToken: () => void;
	/** Called when the worker has stopped responding. */
	onSilent: (link: WorkerLink) => void;
	/** Long-poll timeout of the next lease renewal. */
	renewalWaitMs: (link: WorkerLink) => number;
	/** Whether the worker may have active runs. */
	hasWork: (link: WorkerLink) => boolean;
}>;

/** Connection of the leader to one worker incarnation: orders, lease renewals and reports. */
export type WorkerLink = {
	worker: Worker;
	readonly state: () => WorkerLinkState;
	readonly start: (
		order: Readonly<{unit: string; run: number; spec: string; checkpoint: string; ticket: string | undefined}>,
		/** Whether the unit is still to be started. */
		isWanted: () => boolean,
	) => Promise<OrderResult>;
	/** Resolves to whether the run is stopped: it has ended or is ending, and a later start of it would be refused. */
	readonly stop: (unit: string, run: number) => Promise<boolean>;
	/** Polls the progress of the active runs, independently of the renewal loop. */
	readonly pollProgress: () => Promise<void>;
	readonly throttle: (
		order: Readonly<{unit: string; run: number; percent: number}>,
		/** Whether the unit is still to run at this share. */
		isWanted: () => boolean,
	) => Promise<OrderResult>;
	/** Starts the next lease renewal at once if the loop is idle. */
	readonly wake: () => void;
	/** Renews the lease and receives reports until the signal aborts or the worker is gone. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Time, on this instance's clock, after which no lease granted to the worker can be valid. */
	readonly expiryMs: () => number;
	/** Time since which the worker has been silent; `undefined` while it responds. */
	readonly silentSinceMs: () => number | undefined;
	/** Time of the last response; `undefined` before the first one. */
	readonly lastReplyMs: () => number | undefined;
	/** Whether the worker has listed all its ends to this leader, so that the runs of earlier terms on it are known. */
	readonly hasListedAll: () => boolean;
	/** Start time of the incarnation; `undefined` if it is not known. */
	readonly startedMs: () => number | undefined;
	/** Time at which the last renewal was sent that the incarnation has answered. What it accepted later may have been accepted by the next one. */
	readonly confirmedMs: () => number;
	/**
	Calls the worker at the address of another report of it from now on; before the first answer only.

	@throws {Error} when no client can be created for the address.
	*/
	readonly readdress: (worker: Worker) => void;
	/** Ends the link, since the worker has started again under its id. */
	readonly replace: (successorMs: number | undefined) => void;
};

export type WorkerLinkOptions = Readonly<{
	context: Pick<SchedulerContext, 'connectWorker' | 'log' | 'metrics' | 'bounds'>;
	worker: Worker;
	token: number;
	clocks: Clocks;
	/** Time after which leases granted by earlier leaders have expired. */
	earlierLeasesEndMs: number;
	/** Whether this instance's term is still valid. */
	mayOrder: () => boolean;
	events: WorkerLinkEvents;
}>;
