import type {Clocks} from '../clocks.js';
import {mayRunProtectedParts} from '../disruption-budget.js';
import type {Term} from '../election.js';
import type {LeaderState} from '../leader-state.js';
import {lostWorkOf} from '../plan-view.js';
import type {SchedulerContext} from '../types.js';
import {runWaves} from './run-waves.js';
import type {MachinePort} from './types.js';

export type LeaderWavesOptions = Readonly<{
	context: SchedulerContext;
	port: MachinePort;
	state: LeaderState;
	term: Term;
	clocks: Clocks;
	/** Called when the workers to be drained have changed. */
	onDrainsChanged: () => void;
	signal: AbortSignal;
}>;

/**
Runs the maintenance waves of a term on its workers until the signal aborts.

@example
```ts
lifecycle.run('waves', async (signal) => runLeaderWaves({context, port, state, term, clocks, onDrainsChanged, signal}));
```
*/
export const runLeaderWaves = async (options: LeaderWavesOptions): Promise<void> => {
	const {context, port, state, term, clocks, onDrainsChanged, signal} = options;
	const {store, log, metrics, bounds, waves: records} = context;
	const {now} = clocks;
	await runWaves({
		port,
		records,
		store,
		term,
		log,
		metrics,
		clocks,
		maintenanceMs: () => bounds.maintenanceMs,
		leaseMs: () => bounds.machineLeaseMs,
		lostWorkOf: ({workerId = ''}) =>
			(state.placementIndex.byWorker.get(workerId) ?? []).reduce((sum, placed) => sum + lostWorkOf(placed, now()), 0),
		isProtected: ({workerId = ''}) => mayRunProtectedParts(state, workerId, now()),
		setDrainDeadlines(deadlineByWorker) {
			state.maintenanceDrains.deadlineByWorker = deadlineByWorker;
			onDrainsChanged();
		},
		orderedWorkers: state.orderedWorkers,
		signal,
	});
};
