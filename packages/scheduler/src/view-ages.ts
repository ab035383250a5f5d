import {createReplicaAge, type ReplicaAge} from './replica-age.js';

/** Ages of the replicas that a leader plans with. */
export type ViewAges = Readonly<{
	jobs: ReplicaAge;
	/** The workers' reports about themselves. */
	workers: ReplicaAge;
	/** The requests to evacuate availability zones; has no age in a deployment without them. */
	evacuations: ReplicaAge;
	/** The ages as fields of a log line, in whole milliseconds. */
	fields: () => Readonly<{jobsAgeMs: number; workersAgeMs: number; evacuationsAgeMs: number | undefined}>;
}>;

/**
Creates the ages for a term.

@example
```ts
const ages = createViewAges(clocks.latestNow);
log.info('taken-over', ages.fields());
```
*/
export const createViewAges = (latestNow: () => number): ViewAges => {
	const jobs = createReplicaAge(latestNow);
	const workers = createReplicaAge(latestNow);
	const evacuations = createReplicaAge(latestNow);
	return {
		jobs,
		workers,
		evacuations,
		fields() {
			const evacuationsAgeMs = Math.round(evacuations.ageMs());
			return {
				jobsAgeMs: Math.round(jobs.ageMs()),
				workersAgeMs: Math.round(workers.ageMs()),
				evacuationsAgeMs: Number.isFinite(evacuationsAgeMs) ? evacuationsAgeMs : undefined,
			};
		},
	};
};
