import {sleep, withDeadline, type Lifecycle} from '@bergamotgauge/lifecycle';
import {LATE_START_PROBE_DEADLINE_MS, LATE_START_PROBE_PAUSE_MS} from './constants.js';
import type {Term} from './election.js';
import {pendingLateStarts} from './late-starts.js';
import type {LateStart, LeaderState} from './leader-state.js';
import {unitNameOf} from './active-job.js';
import type {SchedulerContext, WorkerPort} from './types.js';
import type {WorkerLink} from './worker-link-types.js';

export type LateStartProbeOptions = Readonly<{
	context: Pick<SchedulerContext, 'connectWorker' | 'log' | 'metrics'>;
	term: Term;
	state: LeaderState;
	lifecycle: Lifecycle;
	now: () => number;
}>;

/**
Makes the next incarnation of a worker refuse starts for the earlier one.

An order names the worker by its id, which the next incarnation may have too, and that one has seen no fencing token and no stop. So a start that got no response may be carried out by it until a first call tells it not to.
*/
export type LateStartProbe = Readonly<{
	/** Calls a worker that has just stopped responding until it answers, so that its first call stops the late starts. */
	watch: (link: WorkerLink) => void;
}>;

/** Late starts on the worker whose runs are over or elsewhere; a stop of one that is still placed would end good work. */
const unplacedStarts = (state: LeaderState, workerId: string, pending: readonly LateStart[]): readonly LateStart[] => {
	const placed = (state.placementIndex.byWorker.get(workerId) ?? []).filter(({part, placement}) =>
		part.placements.includes(placement),
	);
	return pending.filter(
		({unit, run}) =>
			!placed.some(
				({activeJob, part, placement}) =>
					placement.run === run && unitNameOf(activeJob, part, placement.index) === unit,
			),
	);
};

/**
Creates the probe of a term.

@example
```ts
const probe = createLateStartProbe({context, term, state, lifecycle, now});
probe.watch(link);
```
*/
export const createLateStartProbe = (options: LateStartProbeOptions): LateStartProbe => {
	const {context, term, state, lifecycle, now} = options;
	const {connectWorker, log, metrics} = context;
	const probed = new Set<string>();

	/** Resolves to whether the worker has answered. Calls without a response are not logged, since most find nobody. */
	const stop = async (port: WorkerPort, {unit, run}: LateStart): Promise<boolean> => {
		try {
			const reply = await withDeadline(LATE_START_PROBE_DEADLINE_MS, async (signal) =>
				port.stop({unit, run, token: term.number}, {signal, maySend: term.isValid}),
			);
			// An unhealthy worker has done nothing.
			return reply.outcome === 'accepted' || reply.reason !== 'unhealthy';
		} catch {
			return false;
		}
	};

	const isAnswering = (workerId: string): boolean => {
		const linkState = state.links.get(workerId)?.state();
		return linkState === 'synced' || linkState === 'syncing';
	};

	const probe = async ({worker}: WorkerLink, signal: AbortSignal) => {
		const port = connectWorker(worker);
		let calls = 0;
		try {
			for (;;) {
				const pending = pendingLateStarts(state, worker.id, now());
				if (pending.length === 0 || signal.aborted || isAnswering(worker.id)) {
					return;
				}

				const [first, ...others] = unplacedStarts(state, worker.id, pending);
				calls += first ? 1 : 0;
				if (first && (await stop(port, first))) {
					await Promise.all(others.map(async (lateStart) => stop(port, lateStart)));
					metrics.count('late_starts_stopped_total');
					log.info('late-starts-stopped', {worker: worker.id, starts: others.length + 1, calls});
					return;
				}

				// Many workers that crash together share the rate, since the leader has little processor time to spare.
				await sleep(LATE_START_PROBE_PAUSE_MS * probed.size, signal);
			}
		} finally {
			probed.delete(worker.id);
			port.close();
		}
	};

	return {
		watch(link) {
			const {id} = link.worker;
			if (!probed.has(id) && pendingLateStarts(state, id, now()).length > 0) {
				probed.add(id);
				lifecycle.run(`late-starts/${id}`, async (signal) => probe(link, signal));
			}
		},
	};
};
