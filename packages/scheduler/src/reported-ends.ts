import {toServiceError} from '@bergamotgauge/model';
import type {Log} from '@bergamotgauge/telemetry';
import type {EndedUnit} from './types.js';

export type ReportedEndsOptions = Readonly<{
	workerId: string;
	log: Log;
	/** Resolves when the ends are stored. */
	store: (ended: readonly EndedUnit[]) => Promise<void>;
	/** Called when a batch of ends is stored, or is not going to be. */
	onSettled: () => void;
}>;

/** Ends that one worker incarnation reports until they are acknowledged. */
export type ReportedEnds = Readonly<{
	/** Stores the ends of a report that are new; returns whether there were any. */
	handle: (ended: readonly EndedUnit[]) => boolean;
	/**
	Whether the worker numbers its ends anew, as another incarnation does: the report lists an end that the worker was told to forget before the report was requested, or another end under a number that was reported before.
	*/
	isRenumbered: (ended: readonly EndedUnit[], requestedMs: number) => boolean;
	/** Records that the worker has answered an acknowledgement. */
	confirm: (sequence: number, atMs: number) => void;
	/** Sequence of the last end whose acknowledgement the worker has answered. */
	confirmed: () => number;
	/** Sequence of the last end that is stored and may be acknowledged to the worker. */
	acknowledged: () => number;
	/** Whether ends are being stored. */
	isStoring: () => boolean;
	/** Resolves when the ends so far are stored, or are not going to be. */
	settled: () => Promise<void>;
}>;

const runOf = ({unit, run}: EndedUnit): string => `${unit} ${run}`;

/**
Creates the ends of one worker incarnation. Acknowledgement is cumulative and the ends of a later report may be stored first, so each batch waits for the earlier ones.

@example
```ts
const ends = createReportedEnds({workerId, log, store, onSettled: waker.wake});
ends.handle(report.ended);
```
*/
export const createReportedEnds = ({workerId, log, store, onSettled}: ReportedEndsOptions): ReportedEnds => {
	/** Last end that has been passed to `store`. */
	let forwardedSequence = 0;
	let acknowledgedSequence = 0;
	let confirmedSequence = 0;
	let confirmedMs = Number.NEGATIVE_INFINITY;
	/** Runs of the reported ends whose acknowledgement is not confirmed, by sequence. */
	const reportedRuns = new Map<number, string>();
	/** The store of ends in progress; resolves to whether all ends so far are stored. */
	let pendingStore: Promise<boolean> | undefined;

	const storeBatch = async (ended: readonly EndedUnit[], lastSequence: number, earlier: Promise<boolean>) => {
		let isStored = false;
		try {
			await store(ended);
			isStored = true;
		} catch (error) {
			// The term has ended; the worker reports the unacknowledged ends to the next leader again.
			log.info('ends-not-stored', {worker: workerId, error: toServiceError(error, 'not-run').message});
		}

		if ((await earlier) && isStored) {
			acknowledgedSequence = lastSequence;
			return true;
		}

		return false;
	};

	return {
		handle(ended) {
			const fresh = ended.filter(({sequence}) => sequence > forwardedSequence);
			const unread = ended.filter(({sequence}) => sequence <= acknowledgedSequence).length;
			if (unread > 0) {
				log.info('ends-repeated', {worker: workerId, unread, acknowledged: acknowledgedSequence});
			}

			if (fresh.length === 0) {
				return false;
			}

			for (const end of fresh) {
				reportedRuns.set(end.sequence, runOf(end));
			}

			forwardedSequence = Math.max(...fresh.map(({sequence}) => sequence));
			const stored = storeBatch(fresh, forwardedSequence, pendingStore ?? Promise.resolve(true));
			pendingStore = stored;
			void (async () => {
				await stored;
				if (pendingStore === stored) {
					pendingStore = undefined;
				}

				onSettled();
			})();

			return true;
		},
		isRenumbered: (ended, requestedMs) =>
			ended.some((end) => {
				const known = reportedRuns.get(end.sequence);
				return (
					(end.sequence <= confirmedSequence && requestedMs > confirmedMs) ||
					(known !== undefined && known !== runOf(end))
				);
			}),
		confirm(sequence, atMs) {
			if (sequence > confirmedSequence) {
				confirmedSequence = sequence;
				confirmedMs = atMs;
				for (const reported of reportedRuns.keys()) {
					if (reported <= sequence) {
						reportedRuns.delete(reported);
					}
				}
			}
		},
		confirmed: () => confirmedSequence,
		acknowledged: () => acknowledgedSequence,
		isStoring: () => pendingStore !== undefined,
		async settled() {
			await pendingStore;
		},
	};
};
