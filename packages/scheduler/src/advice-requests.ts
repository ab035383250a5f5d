import type {AdviceTerms} from '@bergamotgauge/jobs';
import type {AdviceRequest} from './advisor.js';
import {isEligible, isSuitable} from './plan/place-part.js';
import {fits, shareOf} from './plan/resources.js';
import type {PlanPart, PlanView, PlanWorker} from './plan/types.js';

/** Cost of a worker for the part; prefers free capacity, healthy workers and data locality. */
const costOf = (part: PlanPart, worker: PlanWorker): number =>
	(fits(part.need, worker.free) ? 0 : 100) +
	(worker.isSuspect ? 50 : 0) +
	(part.dataRack === undefined || part.dataRack === worker.rack ? 0 : 10) -
	shareOf(worker.free, worker.capacity);

/** Whether the workers approved so far have free capacity for all pending parts of the step. */
const hasCapacity = (parts: readonly PlanPart[], workers: readonly PlanWorker[]): boolean => {
	const [part] = parts;
	if (!part) {
		return true;
	}

	const members = parts.reduce((sum, pending) => sum + pending.members, 0);
	const ready = workers.filter((worker) => isEligible(part, worker) && fits(part.need, worker.free));
	return ready.length >= members;
};

/**
Steps for which more workers must be approved before their pending parts can start, by rank. Workers with free capacity come first, so that one request is usually enough.

@example
```ts
advisor.setRequests(pendingAdviceRequests(view, termsOf));
```
*/
export const pendingAdviceRequests = (
	view: PlanView,
	termsOf: (partId: string) => AdviceTerms | undefined,
): readonly AdviceRequest[] => {
	const byStep = new Map<string, PlanPart[]>();
	for (const part of view.parts.toSorted((a, b) => a.rank - b.rank)) {
		if (part.allowedWorkers) {
			byStep.set(part.stepId, [...(byStep.get(part.stepId) ?? []), part]);
		}
	}

	const requests: AdviceRequest[] = [];
	for (const [stepId, parts] of byStep) {
		const part = parts[0]!;
		const terms = termsOf(part.id);
		if (terms && !hasCapacity(parts, view.workers)) {
			const workerIds = view.workers
				.filter((worker) => isSuitable(part, worker))
				.toSorted((a, b) => costOf(part, a) - costOf(part, b))
				.map(({id}) => id);
			requests.push({stepId, terms, workerIds});
		}
	}

	return requests;
};
