import {matchesSelector, type Bundle, type JobSpecification, type Labels, type Worker} from '@bergamotgauge/model';

/**
Labels that worker selectors match against. A label that an operator declared has precedence over the derived one of the same key.

@example
```ts
matchesSelector(guarantee.workerSelector, workerLabels(worker));
```
*/
export const workerLabels = (worker: Worker): Labels => ({
	worker: worker.name,
	rack: worker.rack,
	availabilityZone: worker.availabilityZone,
	...worker.labels,
});

/**
Returns a predicate for the workers on which a job may run by its own selector, the placement rules of its partner and its declared size.

@example
```ts
const workers = rack.workers.filter(eligibleWorker(bundle, job));
```
*/
export const eligibleWorker = (
	bundle: Bundle,
	job: JobSpecification & Readonly<{customer: string}>,
): ((worker: Worker) => boolean) => {
	const partner = bundle.customers.find(({name}) => name === job.customer)?.partner;
	const rules = bundle.placementRules.filter(
		(rule) => rule.partner === partner && matchesSelector(rule.workSelector, job.labels),
	);
	return (worker) => {
		const labels = workerLabels(worker);
		const count = Math.min(job.accelerators, worker.accelerators);
		return (
			matchesSelector(job.workerSelector, labels) &&
			rules.every((rule) => matchesSelector(rule.workerSelector, labels)) &&
			count > 0 &&
			count * job.coresPerAccelerator <= worker.cores &&
			count * job.memoryGigabytesPerAccelerator <= worker.memoryGigabytes
		);
	};
};
