import {createWorkerClient, type WorkerClient} from '@bergamotgauge/worker';
import {bundleOf, type Context} from './context.js';
import {createJobStore, type JobStore} from './job-store.js';
import {createJobViews, type JobViews} from './job-views.js';
import {runPlanner} from './planner-loop.js';
import {runRackLoop} from './rack-loop.js';
import {createRackWriter, type RackWriter} from './rack-writer.js';
import {createWaker} from './waker.js';
import {createWorkerLinks, type WorkerLinks} from './worker-links.js';

export type EngineOptions = Readonly<{
	context: Context;
	createClient?: (address: string) => WorkerClient;
}>;

/** The components of an instance that place and run jobs. */
export type Engine = Readonly<{
	jobs: JobStore;
	views: JobViews;
	links: WorkerLinks;
	racks: RackWriter;
	/** Starts the loops; they stop when the lifecycle of the context closes. */
	start: () => void;
}>;

/**
Creates the components of an instance that place and run jobs.

@example
```ts
const engine = createEngine({context});
engine.start();
const job = await engine.jobs.submit('acme', specification);
```
*/
export const createEngine = ({context, createClient = createWorkerClient}: EngineOptions): Engine => {
	const rackWaker = createWaker();
	const plannerWaker = createWaker();
	const links = createWorkerLinks({context, createClient, onReport: rackWaker.wake});
	const jobs = createJobStore(context);
	const racks = createRackWriter(context);

	const wake = () => {
		rackWaker.wake();
		plannerWaker.wake();
	};

	const refresh = () => {
		links.refresh();
		wake();
	};

	const workersDown = () => [
		...links.down(),
		...context.membership.members().flatMap(({heartbeat}) => heartbeat?.workersDown ?? []),
	];

	const views = createJobViews({context, jobs, workersDown});

	return {
		jobs,
		views,
		links,
		racks,
		start() {
			const {lifecycle, replica, membership, list} = context;
			let lastGeneration = 0;
			replica.events.on('changed', () => {
				const generation = bundleOf(replica)?.generation ?? 0;
				if (generation > lastGeneration) {
					lastGeneration = generation;
					context.log.info('configuration-in-force', {generation});
					links.refresh();
				}

				wake();
			});
			membership.events.on('changed', refresh);
			list.events.on('changed', refresh);
			lifecycle.run('racks', async (signal) => runRackLoop({context, jobs, links, racks}, rackWaker, signal));
			lifecycle.run('planner', async (signal) =>
				runPlanner(
					{context, jobs, racks, workersDown, waker: plannerWaker, onWaitReasons: views.setWaitReasons},
					signal,
				),
			);
			refresh();
		},
	};
};
