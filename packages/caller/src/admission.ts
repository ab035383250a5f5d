import type {Dispatcher, Reservation} from '@bergamotgauge/endpoint';
import {ServiceError, type Customer, type Service, type Urgency} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {MAX_QUEUE_AGE_MS, MAX_QUEUED_REQUESTS, MIN_RETRY_AFTER_MS} from './constants.js';
import {createRunTimes} from './run-times.js';

const RANK: Readonly<Record<Urgency, number>> = {urgent: 0, normal: 1, batch: 2};

/** What admission needs to know of a request. */
export type Candidate = Readonly<{
	service: Service;
	customer: Customer;
	urgency: Urgency;
	deadlineMs: number;
}>;

type Waiting = Readonly<{
	candidate: Candidate;
	rank: number;
	arrivedMs: number;
	grant: (admitted: Admitted) => void;
	refuse: (error: ServiceError) => void;
}>;

type Account = {
	customer: Customer;
	inProgress: number;
	/** Waiting requests, the most urgent first, then by arrival. */
	queue: Waiting[];
	/** Virtual finish time of the last granted request, which is the start of the next one. */
	finish: number;
};

/** The right to send one request. */
export type Admitted = Readonly<{
	reservation: Reservation;
	/** Ends the request's place among those in progress. */
	done: () => void;
}>;

/** Decides which request may be sent next. */
export type Admission = Readonly<{
	/** @throws {ServiceError} When a request of the customer would be refused at once. */
	check: (candidate: Candidate) => void;
	/**
	Waits for a slot.

	@throws {ServiceError} `over-quota` or `overloaded` with verdict `not-run` and a retry time.
	*/
	enter: (candidate: Candidate, signal: AbortSignal) => Promise<Admitted>;
	/** Refuses every waiting request. */
	refuseAll: (error: ServiceError) => void;
	/** Highest number of used slots and waiting requests since the last call, by service. */
	takeDemand: () => ReadonlyMap<string, number>;
	queued: () => number;
}>;

/**
Creates the admission of requests. Customers share slots by weight through start-time fair queueing; within a customer the more urgent request goes first.

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
	dispatcher: Pick<Dispatcher, 'reserve' | 'onFree' | 'usedBy' | 'hasEndpoint'>;
	metrics: Metrics;
	/** Requests that may wait together. */
	maxQueued?: number;
}>): Admission => {
	const accounts = new Map<string, Account>();
	const {meanRunMs, reserveMs, noteRun} = createRunTimes();
	const peaks = new Map<string, number>();
	const waiting = new Map<string, number>();
	let virtualTime = 0;
	let queued = 0;

	const countWaiting = (service: Service, by: number) => {
		queued += by;
		waiting.set(service.name, (waiting.get(service.name) ?? 0) + by);
	};

	const accountOf = (customer: Customer): Account => {
		let account = accounts.get(customer.name);
		if (!account) {
			account = {customer, inProgress: 0, queue: [], finish: 0};
			accounts.set(customer.name, account);
		}

		account.customer = customer;
		if (account.queue.length === 0) {
			// Time without waiting requests earns no claim to later slots.
			account.finish = Math.max(account.finish, virtualTime);
		}

		return account;
	};

	const notePeak = (service: Service) => {
		const demand = dispatcher.usedBy(service) + (waiting.get(service.name) ?? 0);
		peaks.set(service.name, Math.max(peaks.get(service.name) ?? 0, demand));
	};

	/** Time until a request that arrives now would start, by the customer's part of the slots in use. */
	const expectedWaitMs = (account: Account, candidate: Candidate): number => {
		const ahead = account.queue.filter(
			({candidate: other, rank}) => other.service.name === candidate.service.name && rank <= RANK[candidate.urgency],
		).length;
		const busy = [...accounts.values()].filter(({queue, inProgress}) => queue.length + inProgress > 0);
		const weights = busy.reduce((sum, {customer}) => sum + customer.weight, 0) || account.customer.weight;
		const slots = Math.max(1, dispatcher.usedBy(candidate.service));
		const part = Math.min(account.customer.quota.concurrentRequests, (slots * account.customer.weight) / weights);
		return ahead === 0 ? 0 : (ahead / Math.max(part, 0.1)) * meanRunMs(candidate.service);
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

	const remove = (account: Account, entry: Waiting): boolean => {
		const index = account.queue.indexOf(entry);
		if (index === -1) {
			return false;
		}

		account.queue.splice(index, 1);
		countWaiting(entry.candidate.service, -1);
		return true;
	};

	const admit = (account: Account, candidate: Candidate, reservation: Reservation): Admitted => {
		virtualTime = Math.max(virtualTime, account.finish);
		account.finish += 1 / candidate.customer.weight;
		account.inProgress += 1;
		notePeak(candidate.service);
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
				noteRun(candidate.service, performance.now() - startedMs);
				reservation.release();
				pump();
			},
		};
	};

	/** Next request in fair order among the services that may still have a free slot. */
	const nextWaiting = (full: ReadonlySet<string>): Readonly<{account: Account; entry: Waiting}> | undefined => {
		let best: {account: Account; entry: Waiting} | undefined;
		for (const account of accounts.values()) {
			if (account.queue.length === 0 || account.inProgress >= account.customer.quota.concurrentRequests) {
				continue;
			}

			const entry = account.queue.find(({candidate}) => !full.has(candidate.service.name));
			if (entry && (!best || account.finish < best.account.finish)) {
				best = {account, entry};
			}
		}

		return best;
	};

	const pump = () => {
		const full = new Set<string>();
		for (let next = nextWaiting(full); next; next = nextWaiting(full)) {
			const {account, entry} = next;
			const reservation = dispatcher.reserve(entry.candidate.service);
			if (reservation) {
				remove(account, entry);
				metrics.observe('queue_milliseconds', performance.now() - entry.arrivedMs, {
					customer: account.customer.name,
				});
				entry.grant(admit(account, entry.candidate, reservation));
			} else {
				full.add(entry.candidate.service.name);
			}
		}
	};

	/** Drops the newest of the least urgent waiting requests of a customer. */
	const shed = (account: Account): void => {
		const entry = account.queue.at(-1);
		if (entry && remove(account, entry)) {
			entry.refuse(refusal('overloaded', 'a more urgent request took the place in the queue', MIN_RETRY_AFTER_MS));
		}
	};

	/** Makes room by dropping the least urgent request, the newest of the customer with the longest queue for its weight. */
	const shedFor = (rank: number): boolean => {
		let worst: {account: Account; entry: Waiting} | undefined;
		const length = ({queue, customer}: Account) => queue.length / customer.weight;
		for (const account of accounts.values()) {
			const entry = account.queue.at(-1);
			const isWorse =
				entry &&
				(!worst ||
					entry.rank > worst.entry.rank ||
					(entry.rank === worst.entry.rank && length(account) > length(worst.account)));
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

	const checkFor = (account: Account, candidate: Candidate): void => {
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

	const enqueue = async (account: Account, candidate: Candidate, signal: AbortSignal): Promise<Admitted> =>
		new Promise((resolve, reject) => {
			const rank = RANK[candidate.urgency];
			const limitMs = Math.min(MAX_QUEUE_AGE_MS, candidate.deadlineMs - reserveMs(candidate));
			const leave = (error: ServiceError) => {
				if (remove(account, entry)) {
					entry.refuse(error);
				}
			};

			const abort = () => {
				leave(new ServiceError('the caller went away', {code: 'cancelled', verdict: 'not-run'}));
			};

			const timer = setTimeout(() => {
				leave(refusal('overloaded', `no slot became free within ${Math.round(limitMs)} ms`, MIN_RETRY_AFTER_MS));
			}, limitMs);
			const settle = () => {
				clearTimeout(timer);
				signal.removeEventListener('abort', abort);
			};

			const entry: Waiting = {
				candidate,
				rank,
				arrivedMs: performance.now(),
				grant(admitted) {
					settle();
					resolve(admitted);
				},
				refuse(error) {
					settle();
					reject(error);
				},
			};
			signal.addEventListener('abort', abort, {once: true});
			const after = account.queue.findIndex((other) => other.rank > rank);
			account.queue.splice(after === -1 ? account.queue.length : after, 0, entry);
			countWaiting(candidate.service, 1);
			notePeak(candidate.service);
			pump();
		});

	dispatcher.onFree(() => {
		if (queued > 0) {
			pump();
		}
	});

	return {
		check(candidate) {
			checkFor(accountOf(candidate.customer), candidate);
		},
		async enter(candidate, signal) {
			const account = accountOf(candidate.customer);
			checkFor(account, candidate);
			if (signal.aborted) {
				throw new ServiceError('the caller went away', {code: 'cancelled', verdict: 'not-run'});
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
			} else if (queued >= maxQueued && !shedFor(rank)) {
				throw refusal('overloaded', `${queued} requests wait already`, MIN_RETRY_AFTER_MS);
			}

			return enqueue(account, candidate, signal);
		},
		refuseAll(error) {
			for (const account of accounts.values()) {
				for (let entry = account.queue[0]; entry; entry = account.queue[0]) {
					remove(account, entry);
					entry.refuse(error);
				}
			}
		},
		takeDemand() {
			const taken = new Map(peaks);
			peaks.clear();
			return taken;
		},
		queued: () => queued,
	};
};
