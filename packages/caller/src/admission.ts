import type {Dispatcher, Reservation} from '@bergamotgauge/endpoint';
import {ServiceError, type Customer, type Service, type Urgency} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {MAX_QUEUE_AGE_MS, MAX_QUEUED_REQUESTS, MIN_RETRY_AFTER_MS} from './constants.js';
import {createRunTimes} from './run-times.js';

const RANK: Readonly<Record<Urgency, number>> = {urgent: 0, normal: 1, batch: 2};

/** The attributes of a request that admission control uses. */
export type Candidate = Readonly<{
	service: Service;
	customer: Customer;
	urgency: Urgency;
	deadlineMs: number;
}>;

type QueuedRequest = Readonly<{
	candidate: Candidate;
	rank: number;
	arrivedMs: number;
	grant: (permit: Permit) => void;
	refuse: (error: ServiceError) => void;
}>;

/** Fair-queueing state of one customer. */
type Account = {
	customer: Customer;
	inProgress: number;
	/** Waiting requests, ordered by urgency and then by arrival. */
	queue: QueuedRequest[];
	/** Virtual finish time of the last granted request, which is the virtual start time of the next one. */
	virtualFinishTime: number;
};

/** Permission to send one request on a reserved slot. */
export type Permit = Readonly<{
	reservation: Reservation;
	/** Marks the request as completed and releases its slot. */
	done: () => void;
}>;

/** Admission control: decides which request is sent next. */
export type Admission = Readonly<{
	/** @throws {ServiceError} When a request of the customer would be refused at once. */
	check: (candidate: Candidate) => void;
	/**
	Waits for a slot.

	@throws {ServiceError} `over-quota` or `overloaded` with verdict `not-run` and a retry time.
	*/
	enter: (candidate: Candidate, signal: AbortSignal) => Promise<Permit>;
	/** Refuses every waiting request. */
	refuseAll: (error: ServiceError) => void;
	/** Returns the peak of slots in use plus waiting requests since the last call, by service, and resets it. */
	takeDemand: () => ReadonlyMap<string, number>;
	queued: () => number;
}>;

/**
Creates the admission control of one instance. Customers share slots by weight through start-time fair queueing; within a customer, more urgent requests are sent first.

@example
```ts
const admission = createAdmission({dispatcher, metrics});
const {reservation, done} = await admission.enter(candidate, signal);
```
*/
export const createAdmission = ({
	dispatcher,
	metrics,
	maxQueued = MAX_QUEUED_REQUESTS,
}: Readonly<{
	dispatcher: Pick<Dispatcher, 'reserve' | 'onFree' | 'slotsInUseBy' | 'hasEndpoint'>;
	metrics: Metrics;
	/** Maximum number of waiting requests over all customers. */
	maxQueued?: number;
}>): Admission => {
	const accounts = new Map<string, Account>();
	const {meanRunMs, reserveMs, recordRun} = createRunTimes();
	const peakDemand = new Map<string, number>();
	const waitingByService = new Map<string, number>();
	let virtualTime = 0;
	let queued = 0;

	const adjustWaiting = (service: Service, delta: number) => {
		queued += delta;
		waitingByService.set(service.name, (waitingByService.get(service.name) ?? 0) + delta);
	};

	const accountOf = (customer: Customer): Account => {
		let account = accounts.get(customer.name);
		if (!account) {
			account = {customer, inProgress: 0, queue: [], virtualFinishTime: 0};
			accounts.set(customer.name, account);
		}

		account.customer = customer;
		if (account.queue.length === 0) {
			// An idle customer accumulates no credit for later slots.
			account.virtualFinishTime = Math.max(account.virtualFinishTime, virtualTime);
		}

		return account;
	};

	const recordPeakDemand = (service: Service) => {
		const demand = dispatcher.slotsInUseBy(service) + (waitingByService.get(service.name) ?? 0);
		peakDemand.set(service.name, Math.max(peakDemand.get(service.name) ?? 0, demand));
	};

	/** Estimated wait of a request that arrives now, from the customer's weighted share of the slots in use. */
	const expectedWaitMs = (account: Account, candidate: Candidate): number => {
		const ahead = account.queue.filter(
			({candidate: other, rank}) => other.service.name === candidate.service.name && rank <= RANK[candidate.urgency],
		).length;
		const busy = [...accounts.values()].filter(({queue, inProgress}) => queue.length + inProgress > 0);
		const totalWeight = busy.reduce((sum, {customer}) => sum + customer.weight, 0) || account.customer.weight;
		const slots = Math.max(1, dispatcher.slotsInUseBy(candidate.service));
		const slotShare = Math.min(
			account.customer.quota.concurrentRequests,
			(slots * account.customer.weight) / totalWeight,
		);
		return ahead === 0 ? 0 : (ahead / Math.max(slotShare, 0.1)) * meanRunMs(candidate.service);
	};

	const refusal = (
		code: 'over-quota' | 'overloaded' | 'no-endpoint',
		message: string,
		waitMs: number,
	): ServiceError => {
		metrics.count('requests_refused_total', {code});
		return new ServiceError(message, {
			code,
			verdict: 'not-run',
			retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)),
		});
	};

	const removeFromQueue = (account: Account, entry: QueuedRequest): boolean => {
		const index = account.queue.indexOf(entry);
		if (index === -1) {
			return false;
		}

		account.queue.splice(index, 1);
		adjustWaiting(entry.candidate.service, -1);
		return true;
	};

	const admit = (account: Account, candidate: Candidate, reservation: Reservation): Permit => {
		virtualTime = Math.max(virtualTime, account.virtualFinishTime);
		account.virtualFinishTime += 1 / candidate.customer.weight;
		account.inProgress += 1;
		recordPeakDemand(candidate.service);
		const startedMs = performance.now();
		let isDone = false;
		return {
			reservation,
			done() {
				if (isDone) {
					return;
				}

				isDone = true;
				account.inProgress -= 1;
				recordRun(candidate.service, performance.now() - startedMs);
				reservation.release();
				grantFreeSlots();
			},
		};
	};

	/** Next request in fair-queueing order among the services that may still have a free slot. */
	const nextWaiting = (
		fullServices: ReadonlySet<string>,
	): Readonly<{account: Account; entry: QueuedRequest}> | undefined => {
		let best: {account: Account; entry: QueuedRequest} | undefined;
		for (const account of accounts.values()) {
			if (account.queue.length === 0 || account.inProgress >= account.customer.quota.concurrentRequests) {
				continue;
			}

			const entry = account.queue.find(({candidate}) => !fullServices.has(candidate.service.name));
			if (entry && (!best || account.virtualFinishTime < best.account.virtualFinishTime)) {
				best = {account, entry};
			}
		}

		return best;
	};

	/** Grants free slots to waiting requests in fair-queueing order. */
	const grantFreeSlots = () => {
		const fullServices = new Set<string>();
		for (let next = nextWaiting(fullServices); next; next = nextWaiting(fullServices)) {
			const {account, entry} = next;
			const reservation = dispatcher.reserve(entry.candidate.service);
			if (reservation) {
				removeFromQueue(account, entry);
				metrics.observe('queue_milliseconds', performance.now() - entry.arrivedMs, {
					customer: account.customer.name,
				});
				entry.grant(admit(account, entry.candidate, reservation));
			} else {
				fullServices.add(entry.candidate.service.name);
			}
		}
	};

	/** Sheds the newest of the least urgent waiting requests of a customer. */
	const shed = (account: Account): void => {
		const entry = account.queue.at(-1);
		if (entry && removeFromQueue(account, entry)) {
			entry.refuse(refusal('overloaded', 'displaced from the queue by a more urgent request', MIN_RETRY_AFTER_MS));
		}
	};

	/**
	Sheds the least urgent waiting request, the newest one of the customer with the longest queue for its weight. Sheds nothing and returns false when no waiting request is less urgent than `rank`.
	*/
	const shedLeastUrgent = (rank: number): boolean => {
		let worst: {account: Account; entry: QueuedRequest} | undefined;
		const weightedQueueLength = ({queue, customer}: Account) => queue.length / customer.weight;
		for (const account of accounts.values()) {
			const entry = account.queue.at(-1);
			const isWorse =
				entry &&
				(!worst ||
					entry.rank > worst.entry.rank ||
					(entry.rank === worst.entry.rank && weightedQueueLength(account) > weightedQueueLength(worst.account)));
			if (isWorse) {
				worst = {account, entry};
			}
		}

		if (!worst || worst.entry.rank <= rank) {
			return false;
		}

		shed(worst.account);
		return true;
	};

	const checkAdmissible = (account: Account, candidate: Candidate): void => {
		const {name, quota} = candidate.customer;
		if (!dispatcher.hasEndpoint(candidate.service)) {
			throw refusal(
				'no-endpoint',
				`service ${candidate.service.name}: no live endpoint matches its selector`,
				MIN_RETRY_AFTER_MS,
			);
		}

		const waitMs = expectedWaitMs(account, candidate);
		const last = account.queue.at(-1);
		if (last && account.queue.length >= quota.queuedRequests && last.rank <= RANK[candidate.urgency]) {
			throw refusal('over-quota', `customer ${name} has ${account.queue.length} waiting requests, its quota`, waitMs);
		}

		if (waitMs + reserveMs(candidate) > candidate.deadlineMs || waitMs > MAX_QUEUE_AGE_MS) {
			throw refusal('overloaded', `no slot is expected within the deadline of ${candidate.deadlineMs} ms`, waitMs);
		}
	};

	const enqueue = async (account: Account, candidate: Candidate, signal: AbortSignal): Promise<Permit> =>
		new Promise((resolve, reject) => {
			const rank = RANK[candidate.urgency];
			const limitMs = Math.min(MAX_QUEUE_AGE_MS, candidate.deadlineMs - reserveMs(candidate));
			const refuseIfQueued = (error: ServiceError) => {
				if (removeFromQueue(account, entry)) {
					entry.refuse(error);
				}
			};

			const abort = () => {
				refuseIfQueued(new ServiceError('the caller disconnected', {code: 'cancelled', verdict: 'not-run'}));
			};

			const timer = setTimeout(() => {
				refuseIfQueued(
					refusal('overloaded', `no slot became free within ${Math.round(limitMs)} ms`, MIN_RETRY_AFTER_MS),
				);
			}, limitMs);
			const settle = () => {
				clearTimeout(timer);
				signal.removeEventListener('abort', abort);
			};

			const entry: QueuedRequest = {
				candidate,
				rank,
				arrivedMs: performance.now(),
				grant(permit) {
					settle();
					resolve(permit);
				},
				refuse(error) {
					settle();
					reject(error);
				},
			};
			signal.addEventListener('abort', abort, {once: true});
			const after = account.queue.findIndex((other) => other.rank > rank);
			account.queue.splice(after === -1 ? account.queue.length : after, 0, entry);
			adjustWaiting(candidate.service, 1);
			recordPeakDemand(candidate.service);
			grantFreeSlots();
		});

	dispatcher.onFree(() => {
		if (queued > 0) {
			grantFreeSlots();
		}
	});

	return {
		check(candidate) {
			checkAdmissible(accountOf(candidate.customer), candidate);
		},
		async enter(candidate, signal) {
			const account = accountOf(candidate.customer);
			checkAdmissible(account, candidate);
			if (signal.aborted) {
				throw new ServiceError('the caller disconnected', {code: 'cancelled', verdict: 'not-run'});
			}

			if (queued === 0 && account.inProgress < candidate.customer.quota.concurrentRequests) {
				const reservation = dispatcher.reserve(candidate.service);
				if (reservation) {
					return admit(account, candidate, reservation);
				}
			}

			if (candidate.customer.quota.queuedRequests === 0) {
				throw refusal('over-quota', `customer ${candidate.customer.name} may not queue requests`, MIN_RETRY_AFTER_MS);
			}

			const rank = RANK[candidate.urgency];
			if (account.queue.length >= candidate.customer.quota.queuedRequests) {
				shed(account);
			} else if (queued >= maxQueued && !shedLeastUrgent(rank)) {
				throw refusal('overloaded', `the queue is full: ${queued} requests are waiting`, MIN_RETRY_AFTER_MS);
			}

			return enqueue(account, candidate, signal);
		},
		refuseAll(error) {
			for (const account of accounts.values()) {
				for (let entry = account.queue[0]; entry; entry = account.queue[0]) {
					removeFromQueue(account, entry);
					entry.refuse(error);
				}
			}
		},
		takeDemand() {
			const taken = new Map(peakDemand);
			peakDemand.clear();
			return taken;
		},
		queued: () => queued,
	};
};
