import {createHash} from 'node:crypto';
import {ServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import {ROOT_PREFIX} from '../constants.js';
import {MAX_WITHDRAWALS_PER_LEASE, WITHDRAWAL_LEASE_REUSE_MS, WITHDRAWAL_TTL_MS} from './constants.js';
import type {JobAddress} from './types.js';

/** Marks of jobs that were cancelled before they were stored; the write of their submission expects that there is none. */
export type Withdrawals = Readonly<{
	/** Lease for one more mark, which lives for at least `WITHDRAWAL_TTL_MS - WITHDRAWAL_LEASE_REUSE_MS`. */
	takeLease: () => Promise<number>;
	/** Requests a new lease for the next mark. */
	dropLease: () => void;
}>;

const markKey = (queue: string, id: string, owner: string): string => {
	const digest = createHash('sha256')
		.update(JSON.stringify([queue, owner]))
		.digest('base64url')
		.slice(0, 22);
	return `${ROOT_PREFIX}withdrawn/${id}/${digest}`;
};

/** Owner of the mark that any caller of a public queue may leave; no customer has this name. */
const ANYONE = '';

/**
Key of the mark that a cancellation leaves. It differs by queue and customer, so that no customer can block the id of another one's job; on a public queue, any caller may cancel.

@example
```ts
const writes = [{key: withdrawalKey({queue, customer: 'acme', id: '5c0e7a21d94b36f8'}), value, lease}];
```
*/
export const withdrawalKey = ({queue, customer, id}: JobAddress): string =>
	markKey(queue.name, id, queue.isPublic ? ANYONE : customer);

/**
Keys of all marks that hold against a submission. Instances may have different versions of the configuration, so the submission meets the mark of its customer and that of anyone, whether or not the queue is public here.

@example
```ts
const expected = withdrawalKeysAgainst({queue, customer: 'acme', id}).map((key) => ({key, revision: 0}));
```
*/
export const withdrawalKeysAgainst = ({queue, customer, id}: JobAddress): readonly string[] => [
	...new Set([customer, ANYONE].map((owner) => markKey(queue.name, id, owner))),
];

/** The refusal of a submission that meets a mark. Callers take 503 for a job that was not accepted; the id may be used again when the mark has ended. */
export const createWithdrawnError = (id: string): ServiceError =>
	new ServiceError(`job ${id} was cancelled before it was stored`, {
		code: 'conflict',
		verdict: 'not-run',
		status: 503,
		retryAfterMs: WITHDRAWAL_TTL_MS,
	});

/**
Creates the lease of an instance's marks. One lease serves all marks of a while, so that a burst of cancellations needs no lease each.

@example
```ts
const withdrawals = createWithdrawals(store, clocks.latestNow);
const lease = await withdrawals.takeLease();
```

`takeLease` throws `overloaded`, verdict `not-run`, when the lease holds `MAX_WITHDRAWALS_PER_LEASE` marks.
*/
export const createWithdrawals = (store: KeyValueStore, now: () => number): Withdrawals => {
	let current: Readonly<{lease: Promise<number>; requestedMs: number}> | undefined;
	let marks = 0;

	const requestLease = async (): Promise<number> => {
		try {
			const {lease} = await store.grantLease(WITHDRAWAL_TTL_MS);
			return lease;
		} catch (error) {
			current = undefined;
			throw error;
		}
	};

	return {
		async takeLease() {
			if (!current || now() - current.requestedMs > WITHDRAWAL_LEASE_REUSE_MS) {
				marks = 0;
				current = {requestedMs: now(), lease: requestLease()};
			}

			if (marks >= MAX_WITHDRAWALS_PER_LEASE) {
				throw new ServiceError('too many jobs that are not stored have been cancelled', {
					code: 'overloaded',
					verdict: 'not-run',
					retryAfterMs: current.requestedMs + WITHDRAWAL_LEASE_REUSE_MS - now(),
				});
			}

			marks += 1;
			return current.lease;
		},
		dropLease() {
			current = undefined;
		},
	};
};
