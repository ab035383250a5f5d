import type {AdviceTerms} from '@bergamotgauge/jobs';
import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {LRUCache} from 'lru-cache';
import {
	ADVICE_BATCH,
	ADVICE_CACHE_ENTRIES,
	ADVICE_GRACE_MS,
	ADVICE_RETRY_MS,
	TICKET_MARGIN_MS,
} from './advice-constants.js';
import type {AdvicePort} from './types.js';
import {createWaker} from './waker.js';

/** A step that needs the approval of workers before it can run. */
export type AdviceRequest = Readonly<{
	stepId: string;
	terms: AdviceTerms;
	/** Candidate workers, the best first. */
	workerIds: readonly string[];
}>;

type Ticket = Readonly<{ticket: string; untilMs: number}>;

type StepAdvice = {
	/** Workers that the service was asked about; its decision on a worker does not change. */
	readonly asked: Set<string>;
	/** Newest ticket of each approved worker, valid or not. */
	readonly approved: Map<string, Ticket>;
};

/** Asks the advice service which workers may run a step, one request at a time, and caches its tickets. */
export type Advisor = Readonly<{
	/** Replaces the steps that need approval, the most urgent first. */
	setRequests: (requests: readonly AdviceRequest[]) => void;
	/** Workers with a valid ticket for the step. */
	allowedWorkers: (stepId: string) => ReadonlySet<string>;
	ticketOf: (stepId: string, workerId: string) => string | undefined;
	/** Marks a ticket that a worker has refused as expired. */
	dropTicket: (stepId: string, workerId: string) => void;
	/** Marks all tickets for a worker as expired, since they are valid for one incarnation. */
	dropWorker: (workerId: string) => void;
	run: (signal: AbortSignal) => Promise<void>;
}>;

export type AdvisorOptions = Readonly<{
	port: AdvicePort;
	log: Log;
	metrics: Metrics;
	/** Clock by which tickets expire. */
	latestNow: () => number;
	/** Called when new tickets have been received. */
	onAdvice: () => void;
}>;

const newStepAdvice = (): StepAdvice => ({asked: new Set(), approved: new Map()});

/**
Creates the advisor of a term.

@example
```ts
const advisor = createAdvisor({port, log, metrics, latestNow, onAdvice: waker.wake});
lifecycle.run('advice', advisor.run);
advisor.setRequests([{stepId: '5c0e7a21d94b36f8.0.1', terms, workerIds: ['i-1', 'i-2']}]);
```
*/
export const createAdvisor = ({port, log, metrics, latestNow, onAdvice}: AdvisorOptions): Advisor => {
	const steps = new LRUCache<string, StepAdvice>({max: ADVICE_CACHE_ENTRIES});
	const waker = createWaker();
	let requests: readonly AdviceRequest[] = [];

	const isValid = ({untilMs}: Ticket): boolean => untilMs - TICKET_MARGIN_MS > latestNow();

	/** Approved workers whose ticket has expired, followed by those not asked about yet. */
	const workersToAsk = ({stepId, workerIds}: AdviceRequest): readonly string[] => {
		const {asked, approved} = steps.get(stepId) ?? newStepAdvice();
		const expired = workerIds.filter((id) => {
			const ticket = approved.get(id);
			return ticket && !isValid(ticket);
		});
		return [...expired, ...workerIds.filter((id) => !asked.has(id))].slice(0, ADVICE_BATCH);
	};

	const ask = async ({stepId, terms}: AdviceRequest, workerIds: readonly string[]) => {
		const sentMs = latestNow();
		const deadlineMs = terms.decideMs + terms.eachMs * workerIds.length + ADVICE_GRACE_MS;
		const {tickets, validMs} = await port.ask(stepId, workerIds, deadlineMs);
		const advice = steps.get(stepId) ?? newStepAdvice();
		for (const id of workerIds) {
			const ticket = tickets.get(id);
			advice.asked.add(id);
			if (ticket === undefined) {
				advice.approved.delete(id);
			} else {
				// Validity is counted from when the request was sent, since the time of the decision is not known.
				advice.approved.set(id, {ticket, untilMs: sentMs + validMs});
			}
		}

		steps.set(stepId, advice);
		metrics.observe('advice_milliseconds', latestNow() - sentMs);
		log.info('advice', {
			step: stepId,
			asked: workerIds.length,
			approved: tickets.size,
			tookMs: Math.round(latestNow() - sentMs),
		});
	};

	const expire = (approved: Map<string, Ticket> | undefined, workerId: string) => {
		const ticket = approved?.get(workerId);
		if (approved && ticket) {
			approved.set(workerId, {...ticket, untilMs: latestNow()});
		}
	};

	return {
		setRequests(next) {
			requests = next;
			if (next.length > 0) {
				waker.wake();
			}
		},
		allowedWorkers: (stepId) =>
			new Set([...(steps.get(stepId)?.approved ?? [])].filter(([, ticket]) => isValid(ticket)).map(([id]) => id)),
		ticketOf: (stepId, workerId) => steps.get(stepId)?.approved.get(workerId)?.ticket,
		dropTicket(stepId, workerId) {
			expire(steps.get(stepId)?.approved, workerId);
		},
		dropWorker(workerId) {
			for (const {approved} of steps.values()) {
				expire(approved, workerId);
			}
		},
		async run(signal) {
			while (!signal.aborted) {
				const request = requests.find((candidate) => workersToAsk(candidate).length > 0);
				if (!request) {
					await waker.wait(signal);
					continue;
				}

				try {
					await ask(request, workersToAsk(request));
					onAdvice();
				} catch (error) {
					metrics.count('advice_failures_total');
					log.info('advice-failed', {step: request.stepId, error: toServiceError(error, 'may-have-run').message});
					await sleep(ADVICE_RETRY_MS, signal);
				}
			}
		},
	};
};
