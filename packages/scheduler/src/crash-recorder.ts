import type {CrashedRun} from '@bergamotgauge/jobs';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {unitNameOf, type ActiveJob} from './active-job.js';
import {recordCrash, suspectsAfterSilence, suspectsOf} from './crash-evidence.js';
import {COMMON_CAUSE_WINDOW_MS, RENEWAL_GRACE_MS, RENEWAL_WAIT_MS} from './constants.js';
import {updateOutcome} from './job-outcome.js';
import {allPlacedUnits, type LeaderState, type PlacedUnit} from './leader-state.js';
import type {WorkerEnd, WorkerLink} from './worker-link-types.js';

/** Records the end of a worker against the units that may have crashed it. Returns their jobs, whose outcomes may have changed. */
export type CrashRecorder = (link: WorkerLink, end: WorkerEnd) => ReadonlySet<ActiveJob>;

/** A run that may have crashed its worker. */
type Suspect = Readonly<PlacedUnit & {crash: CrashedRun}>;

/** Time for which the moment of a crash is kept, to be compared with those of other workers. */
const CRASH_TIME_KEPT_MS = COMMON_CAUSE_WINDOW_MS + 10 * (RENEWAL_WAIT_MS + RENEWAL_GRACE_MS);

/** Creates the recorder of a term. */
export const createCrashRecorder =
	({
		state,
		log,
		metrics,
		now,
	}: Readonly<{state: LeaderState; log: Log; metrics: Metrics; now: () => number}>): CrashRecorder =>
	(link, {reason}) => {
		const {id: workerId} = link.worker;
		// A planned leave or an ordered maintenance ends the incarnation too.
		if (link.worker.state !== 'ready' || state.orderedWorkers.has(workerId)) {
			return new Set();
		}

		const silentSinceMs = link.silentSinceMs() ?? now();
		for (const [id, ms] of state.crashTimes) {
			if (ms < now() - CRASH_TIME_KEPT_MS) {
				state.crashTimes.delete(id);
			}
		}

		const placed = [...allPlacedUnits(state)].filter(
			({placement}) => placement.workerId === workerId && placement.stopAcceptedMs === undefined,
		);
		const lastReplyMs = link.lastReplyMs() ?? silentSinceMs;
		const workerCrash = {workerId, lastReplyMs, silentSinceMs, placed};
		const suspects: readonly Suspect[] =
			reason === 'lease-ended' ? suspectsAfterSilence(workerCrash) : suspectsOf(state, workerCrash);
		if (reason !== 'lease-ended') {
			state.crashTimes.set(workerId, silentSinceMs);
			metrics.count('worker_crashes_total');
			log.info('worker-crashed', {
				worker: workerId,
				units: placed.length,
				suspects: suspects.length,
				silentMs: Math.round(now() - silentSinceMs),
			});
		}

		const changed = new Set<ActiveJob>();
		for (const {activeJob, part, placement, crash} of suspects) {
			if (!recordCrash(part, crash, now())) {
				continue;
			}

			log.info('crash-suspected', {
				unit: unitNameOf(activeJob, part, placement.index),
				run: crash.run,
				worker: workerId,
				suspicion: crash.suspicion,
				ranMs: crash.ranMs,
				crashes: part.crashes.length,
			});
			metrics.count('crash_suspicions_total', {suspicion: crash.suspicion});
			activeJob.changes += 1;
			updateOutcome(activeJob, Date.now());
			changed.add(activeJob);
		}

		return changed;
	};
