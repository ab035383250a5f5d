import {ServiceError} from '@bergamotgauge/model';
import type {Request} from 'express';
import {authenticate} from './authenticate.js';
import {NOT_ACCEPTING_RETRY_AFTER_MS} from './constants.js';
import type {Caller, CallerService} from './types.js';

/**
Authenticates the caller of a request.

@throws {ServiceError} `unauthenticated`, or `forbidden` for a token that is not a caller's.
*/
export const authenticateCaller = (service: CallerService, request: Request): Caller => {
	const token = authenticate(service.bundle()?.tokens ?? [], request.headers.authorization);
	if (token.role !== 'caller' || token.customer === undefined) {
		throw new ServiceError('the token is not a caller token', {code: 'forbidden', verdict: 'not-run'});
	}

	return {...token, customer: token.customer};
};

/** Error of an instance that is starting or draining. */
export const notAcceptingError = (): ServiceError =>
	new ServiceError('this instance is starting or draining and accepts no new work', {
		code: 'draining',
		verdict: 'not-run',
		retryAfterMs: NOT_ACCEPTING_RETRY_AFTER_MS,
	});

/** @throws {ServiceError} `draining` while the instance is starting or draining. */
export const requireAccepting = (service: CallerService): void => {
	if (!service.isAccepting()) {
		throw notAcceptingError();
	}
};
