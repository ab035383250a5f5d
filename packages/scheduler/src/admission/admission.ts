import type {Job, Submission} from '@bergamotgauge/jobs';
import {ServiceError} from '@bergamotgauge/model';
import {ADMISSION_CHECKS} from './checks.js';
import {OWN_COUNT_MS} from './constants.js';
import {memoryNeedOf} from './memory.js';
import type {AdmissionRequest, Backlog, Refusal} from './types.js';

/** Decides which jobs an instance accepts. */
export type Admission = Readonly<{
	/** Returns why the job is refused; otherwise counts it as admitted. */
	admit: (job: Job) => Refusal | undefined;
	/** Stops counting a job that was admitted and not stored. */
	release: (job: Submission) => void;
	setBacklog: (backlog: Backlog | undefined) => void;
}>;

export type AdmissionOptions = Readonly<{
	/** Memory that accepted jobs may take on this instance; see `memoryLimitBytes`. */
	limitBytes: number;
	/** Accelerators that a customer is guaranteed. */
	guaranteeOf: (customer: string) => number;
	/** Whether no instance leads, so that nobody counts what is admitted. */
	isVacant: () => boolean;
	now: () => number;
	random: () => number;
}>;

/** Whether a guarantee of this many accelerators would cover the job if no other job used it. */
const isWithin = (guaranteedAccelerators: number, {priority, steps}: Job): boolean => {
	const first = steps.filter(({after}) => after.length === 0);
	return (
		priority === 0 &&
		first.reduce((sum, {count, accelerators}) => sum + count * accelerators, 0) <= guaranteedAccelerators
	);
};

/**
Creates the admission of an instance that has not read a backlog.

@example
```ts
const admission = createAdmission({limitBytes, guaranteeOf, isVacant: leader.isVacant, now, random: Math.random});
const refusal = admission.admit(job);
```
*/
export const createAdmission = ({limitBytes, guaranteeOf, isVacant, now, random}: AdmissionOptions): Admission => {
	/** Jobs that were admitted and may not be in the backlog yet. */
	let own: ReadonlyArray<Readonly<{id: string; bytes: number; admittedMs: number}>> = [];
	let backlog: Backlog | undefined;
	let backlogMs = 0;

	return {
		admit(job) {
			if (!isVacant()) {
				own = own.filter(({admittedMs}) => now() - admittedMs < OWN_COUNT_MS);
			}

			const others = own.filter(({id}) => id !== job.id);
			const ownBytes = others.reduce((sum, {bytes}) => sum + bytes, 0);
			const request: AdmissionRequest = {
				job,
				isGuaranteed: isWithin(guaranteeOf(job.customer), job),
				backlog,
				backlogAgeMs: now() - backlogMs,
				ownBytes,
				limitBytes,
				random: random(),
			};
			for (const check of ADMISSION_CHECKS) {
				const refusal = check(request);
				if (refusal) {
					return refusal;
				}
			}

			own = [...others, {id: job.id, bytes: memoryNeedOf(job), admittedMs: now()}];
			return undefined;
		},
		release({id}) {
			own = own.filter((admitted) => admitted.id !== id);
		},
		setBacklog(published) {
			backlog = published;
			backlogMs = now();
		},
	};
};

/** The error that tells a caller of a refusal. */
export const createRefusalError = ({reason, message, code, retryAfterMs}: Refusal): ServiceError =>
	new ServiceError(message, {
		code,
		verdict: 'not-run',
		...(retryAfterMs !== undefined && {retryAfterMs}),
		details: {reason},
	});
