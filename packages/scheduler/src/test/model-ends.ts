import type {RunEnd} from '@bergamotgauge/jobs';
import type {EndedUnit} from '../types.js';
import type {WorkerEvents} from './model-worker-events.js';

/** The ends that a simulated worker lists until they are acknowledged. */
export type ModelEnds = Readonly<{
	record: (unit: string, run: number, how: RunEnd) => void;
	/** Ends that are not acknowledged, neither before nor by this sequence. */
	listedAfter: (acknowledgedSequence: number) => readonly EndedUnit[];
	acknowledge: (sequence: number) => void;
	/** Resolves at the next end, after the time, or when it is woken. */
	waitForNext: (waitMs: number, signal: AbortSignal) => Promise<void>;
	wake: () => void;
	/** Records that the lease has expired: the ends so far are never taken note of. */
	expire: () => void;
	/** Forgets all ends, as a new incarnation does. */
	clear: () => void;
	/** Sequence of the last acknowledged end. */
	acknowledged: () => number;
}>;

/** Creates the ends of one simulated worker. */
export const createModelEnds = (events: WorkerEvents): ModelEnds => {
	let ended: EndedUnit[] = [];
	let sequence = 0;
	let acknowledgedSequence = 0;
	/** Last end before the latest expiry of the lease. */
	let expiredSequence = 0;
	const waiting = new Set<() => void>();

	/** A worker forgets the ends that were acknowledged, whoever asks for them. */
	const listedAfter = (limit: number): readonly EndedUnit[] =>
		ended.filter((end) => end.sequence > Math.max(limit, acknowledgedSequence));

	const wake = () => {
		for (const finish of waiting) {
			finish();
		}
	};

	return {
		listedAfter,
		wake,
		waitForNext: async (waitMs, signal) =>
			new Promise<void>((resolve) => {
				const finish = () => {
					clearTimeout(timer);
					waiting.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				waiting.add(finish);
				signal.addEventListener('abort', finish, {once: true});
			}),
		acknowledged: () => acknowledgedSequence,
		record(unit, run, how) {
			sequence += 1;
			const end: EndedUnit = {sequence, unit, run, how, checkpoint: ''};
			ended.push(end);
			events.onEnd(end);
			if (sequence <= acknowledgedSequence) {
				// An acknowledgement may be ahead of the ends.
				events.onAcknowledged(acknowledgedSequence, [end]);
			}

			wake();
		},
		acknowledge(given) {
			const fresh = listedAfter(expiredSequence);
			acknowledgedSequence = Math.max(acknowledgedSequence, given);
			events.onAcknowledged(
				acknowledgedSequence,
				fresh.filter((end) => end.sequence <= acknowledgedSequence),
			);
		},
		expire() {
			expiredSequence = sequence;
		},
		clear() {
			ended = [];
			sequence = 0;
			acknowledgedSequence = 0;
			expiredSequence = 0;
		},
	};
};
