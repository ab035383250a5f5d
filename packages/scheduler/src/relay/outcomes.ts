import {ServiceError} from '@bergamotgauge/model';
import type {CallerCall} from './types.js';

/** Result of one attempt at a caller's request. */
export type Outcome = Readonly<{kind: 'answered'; body: unknown} | {kind: 'failed'; error: ServiceError}>;

/** Errors that say that the answering instance has no contact with the store, so that another one may answer. */
export const isStoreFailure = (outcome: Outcome): boolean =>
	outcome.kind === 'failed' &&
	(outcome.error.code === 'store-unavailable' || outcome.error.code === 'peer-unavailable');

/** Whether the error holds although an earlier attempt may have run: what is stored shows that it had no other effect. */
export const isDefinite = ({method}: CallerCall, {code, status}: ServiceError): boolean =>
	method === 'GET' || (method === 'POST' && code === 'conflict') || (method === 'DELETE' && status === 410);

/**
The error for a caller whose request has had several attempts. It is never a refusal if one of them may have run.

@example
```ts
throw combineErrors(call, earlierErrors, lastError);
```
*/
export const combineErrors = (
	call: CallerCall,
	earlier: ReadonlyArray<ServiceError | undefined>,
	last: ServiceError,
): ServiceError => {
	const mayHaveRun = [...earlier, last].some((error) => error !== undefined && error.verdict !== 'not-run');
	if (isDefinite(call, last) || !mayHaveRun) {
		return last;
	}

	return new ServiceError(`the outcome of the request is unknown: ${last.message}`, {
		code: 'deadline-exceeded',
		verdict: 'may-have-run',
		cause: last,
	});
};
