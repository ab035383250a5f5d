import {createLifecycle} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyChanges} from '@bergamotgauge/store';
import {DIRECTORY_PAUSE_MS, PENDING_VIEW_MAX_AGE_MS, WATCH_PAUSE_MS} from './constants.js';
import type {Term} from './election.js';
import {publishBacklog} from './admission/publish-backlog.js';
import {createAdvisor} from './advisor.js';
import type {ActiveJob} from './active-job.js';
import {applyChanges, createApplyJob} from './apply-job.js';
import {createJobTable} from './job-table.js';
import {JOBS_PREFIX} from './keys.js';
import {createLeaderState} from './leader-state.js';
import {watchLoopDelay} from './loop-delay.js';
import {publishPendingCounts} from './pending-counts.js';
import {createPlacements} from './placements.js';
import {stepIdOf} from './plan-view.js';
import {runLeaderWaves} from './maintenance/leader-waves.js';
import {createPlanner} from './planner.js';
import {runPlanLoop} from './plan-loop.js';
import {createProgressWriter} from './progress-writer.js';
import {removeEndedJobs} from './retention.js';
import type {StoreHealth} from './store-health.js';
import type {SchedulerContext} from './types.js';
import {watchEvacuations} from './evacuation/watch-evacuations.js';
import {createUnitEnds} from './unit-ends.js';
import {keepSpeeds} from './speed/stored-speeds.js';
import {createStartGuard, maxViewAgeMs} from './start-guard.js';
import {createStartWindow} from './start-window.js';
import {createViewAges} from './view-ages.js';
import {waitForAbort} from './wait-for-abort.js';
import {createWaker} from './waker.js';
import {watchView} from './watch-view.js';
import {recordRefusal} from './worker-evidence.js';
import {createWorkerFleet} from './worker-fleet.js';

export type LeaderOptions = Readonly<{
	context: SchedulerContext;
	health: StoreHealth;
	term: Term;
	/** Memory that accepted jobs may take on this instance. */
	limitBytes: number;
}>;

const errorOf = (thrown: unknown): string => toServiceError(thrown, 'may-have-run').message;

/**
Runs the leader's tasks until the term ends: adopts the active runs, places pending work and stores the ends of units.

@example
```ts
await runLeader({context, health, term, limitBytes});
```
*/
export const runLeader = async ({context, health, term, limitBytes}: LeaderOptions): Promise<void> => {
	const {store, log, metrics, bounds, workerPrefix} = context;
	const {clocks} = health;
	const {now, latestNow} = clocks;
	const state = createLeaderState(context.policy);
	const ages = createViewAges(latestNow);
	const guard = createStartGuard({ages, bounds, log, metrics});
	const table = createJobTable(log);
	/** Woken when the next planning pass may find something to do. */
	const waker = createWaker();
	const loaded = createWaker();
	const lifecycle = createLifecycle('term', (task, error, restartMs) => {
		log.error('task-failed', {task, error: error.stack ?? error.message, restartMs});
	});
	const endLifecycle = () => {
		void lifecycle.close();
	};

	term.signal.addEventListener('abort', endLifecycle, {once: true});

	const writer = createProgressWriter({
		store,
		term,
		log,
		metrics,
		maxValueBytes: context.maxValueBytes,
		onStored: table.mergeWritten,
		onCancelled(activeJob) {
			ends.finishJob(activeJob);
		},
	});

	const advisor =
		context.advice && createAdvisor({port: context.advice, log, metrics, latestNow, onAdvice: waker.wake});

	const startWindow = createStartWindow(() => {
		planner.sendHeldBack();
	});
	const placements = createPlacements({
		state,
		ages,
		mayStart: guard.mayStart,
		startWindow,
		term: term.number,
		bounds,
		log,
		metrics,
		now,
		signal: term.signal,
		onCapacityFreed: waker.wake,
		onRefused({activeJob, part, placement: {workerId}}, reason) {
			if (reason === 'no-ticket') {
				advisor?.dropTicket(stepIdOf(activeJob, part), workerId);
			} else {
				recordRefusal(state, workerId, reason, now());
			}

			waker.wake();
		},
		ticketOf: (activeJob, part, workerId) =>
			activeJob.job.advice && advisor?.ticketOf(stepIdOf(activeJob, part), workerId),
		store: async (activeJob) => storeChanges(activeJob),
		storeLater: writer.storeLater,
	});

	const ends = createUnitEnds({state, placements, term: term.number, log, metrics, now});

	const fleet = createWorkerFleet({
		context,
		term,
		state,
		lifecycle,
		clocks,
		onReport(link, running, details) {
			placements.reconcile(link, running, details);
			waker.wake();
		},
		onProgress(link, running, details) {
			placements.updateProgress(link, running, details);
			waker.wake();
		},
		async onEnds(link, ended) {
			const changed = new Set(
				ended.map((end) => ends.handle(link, end)).filter((activeJob) => activeJob !== undefined),
			);
			waker.wake();
			await writer.store([...changed]);
		},
		onGone(link, end) {
			for (const activeJob of placements.removeWorker(link, end)) {
				onCrashRecorded(activeJob);
			}

			if (end.reason !== 'lease-ended') {
				advisor?.dropWorker(link.worker.id);
			}
		},
		onOpened: placements.stopLateStarts,
		onChanged: waker.wake,
	});

	/** Resolves to whether the changes of the job are stored. */
	const storeChanges = async (activeJob: ActiveJob): Promise<boolean> => {
		try {
			await writer.store([activeJob]);
			return true;
		} catch (error) {
			// The term has ended. The next leader finds the cancellation of the job, or a run on trial, in the store.
			log.info('job-not-stored', {job: activeJob.job.id, error: errorOf(error)});
			return false;
		}
	};

	const onCrashRecorded = (activeJob: ActiveJob) => {
		if (activeJob.outcome !== undefined) {
			ends.finishJob(activeJob);
		}

		void storeChanges(activeJob);
	};

	const planner = createPlanner({context, term, state, fleet, placements, startWindow, advisor, onCrashRecorded, now});

	const applyJob = createApplyJob({
		state,
		table,
		log,
		onCancelled(activeJob) {
			ends.finishJob(activeJob);
			void storeChanges(activeJob);
		},
	});

	const applyJobChanges = async (changes: KeyChanges) => {
		if (await applyChanges({table, applyJob}, changes)) {
			loaded.wake();
			waker.wake();
		}
	};

	const onSynced = () => {
		if (guard.update()) {
			waker.wake();
		}
	};

	try {
		lifecycle.run('loop-delay', async (signal) => watchLoopDelay({metrics, onDelay: startWindow.observeDelay, signal}));
		lifecycle.add(
			'table',
			table.events.on('changed', (ids) => {
				for (const id of ids) {
					applyJob(id);
				}

				waker.wake();
			}),
		);
		lifecycle.run('jobs', async (signal) =>
			watchView({
				store,
				log,
				latestNow,
				signal,
				prefix: JOBS_PREFIX,
				maxAgeMs: () => Math.min(maxViewAgeMs(bounds.cancellationMs), PENDING_VIEW_MAX_AGE_MS),
				pauseMs: WATCH_PAUSE_MS,
				age: ages.jobs,
				onChanges: applyJobChanges,
				onSynced,
			}),
		);
		lifecycle.run('evacuations', async (signal) =>
			watchEvacuations({context, state, ages, clocks, onChanged: waker.wake, onSynced, signal}),
		);
		// Reports of workers can be reconciled only when the jobs are loaded.
		await loaded.wait(term.signal);
		await fleet.openRoster();
		if (term.signal.aborted) {
			return;
		}

		log.info('taken-over', {
			term: term.number,
			jobs: state.activeJobs.size,
			workers: state.links.size,
			jobsAgeMs: Math.round(ages.jobs.ageMs()),
		});
		lifecycle.run('directory', async (signal) =>
			watchView({
				store,
				log,
				latestNow,
				signal,
				prefix: workerPrefix,
				maxAgeMs: () => maxViewAgeMs(bounds.drainNoticeMs),
				pauseMs: DIRECTORY_PAUSE_MS,
				age: ages.workers,
				onChanges: fleet.applyDirectoryChanges,
				onSynced,
			}),
		);
		lifecycle.run('speeds', async (signal) =>
			keepSpeeds({store, term, speeds: state.workerSpeeds, directory: state.directory, log, metrics, signal}),
		);
		lifecycle.run('retention', async (signal) => removeEndedJobs({store, table, term, bounds, log, signal}));
		lifecycle.run('pending', async (signal) =>
			publishPendingCounts({store, table, term, log, viewAgeMs: ages.jobs.ageMs, signal}),
		);
		lifecycle.run('backlog', async (signal) =>
			publishBacklog({store, term, state, limitBytes, log, metrics, now, signal}),
		);
		if (advisor) {
			lifecycle.run('advice', advisor.run);
		}

		const {machines} = context;
		if (machines) {
			lifecycle.run('waves', async (signal) =>
				runLeaderWaves({context, port: machines, state, term, clocks, onDrainsChanged: waker.wake, signal}),
			);
		}

		lifecycle.run('plan', async (signal) => runPlanLoop({term, state, fleet, planner, guard, waker, log, now, signal}));
		await waitForAbort(term.signal);
	} finally {
		term.signal.removeEventListener('abort', endLifecycle);
		// An instance that does not lead holds no starts back.
		metrics.gauge('starts_paused', 0);
		metrics.gauge('starts_held_back', 0);
		await lifecycle.close();
	}
};
