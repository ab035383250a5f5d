import type {RackRecord, TaskReport, Worker} from '@bergamotgauge/model';
import type {WorkerLinks} from './worker-links.js';

/** A task without a placement. */
export type Orphan = Readonly<{worker: string; task: TaskReport}>;

/**
Finds tasks on a rack's workers that belong to no placement. A task whose token is newer than the record's epoch belongs to a placement that this instance has not seen yet, so it is not an orphan.

@example
```ts
findOrphans(record, rack.workers, links.tasks);
```
*/
export const findOrphans = (
	record: RackRecord,
	workers: readonly Worker[],
	tasksOf: WorkerLinks['tasks'],
): readonly Orphan[] =>
	workers.flatMap(({name}) =>
		(tasksOf(name) ?? [])
			.filter(
				(task) =>
					task.token <= record.epoch &&
					!record.placements.some(
						({job, attempt, token}) => job === task.job && attempt === task.attempt && token === task.token,
					),
			)
			.map((task) => ({worker: name, task})),
	);

/** Stops orphaned tasks, such as one that was prepared after its placement had been removed. */
export const stopOrphans = async (links: WorkerLinks, orphans: readonly Orphan[]): Promise<void> => {
	await Promise.all(
		orphans.map(async ({worker, task}) => {
			const sequence = await links.client(worker)?.stop(task);
			if (sequence !== undefined) {
				links.requireSequence(worker, sequence);
			}
		}),
	);
};
