import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {ServiceError, type AccessToken} from '@bergamotgauge/model';

const BEARER = /^Bearer (?<token>[\w\-.~+\/]{16,512}=*)$/v;

const unauthenticatedError = (message: string): ServiceError =>
	new ServiceError(message, {code: 'unauthenticated', verdict: 'not-run'});

/** Hex SHA-256 of a token, as stored in declarations. */
export const hashToken = (token: string): string => createHash('sha256').update(token).digest('hex');

/**
Finds the access token of an Authorization header. Every declared hash is compared, so that the response time does not reveal which one matched.

@example
```ts
const {customer} = authenticate(bundle.tokens, request.get('authorization'));
```

@throws {ServiceError} `unauthenticated`.
*/
export const authenticate = (tokens: readonly AccessToken[], authorization: string | undefined): AccessToken => {
	const token = BEARER.exec(authorization ?? '')?.groups?.token;
	if (token === undefined) {
		throw unauthenticatedError('the Authorization header must carry a bearer token');
	}

	const digest = createHash('sha256').update(token).digest();
	let found: AccessToken | undefined;
	for (const candidate of tokens) {
		if (timingSafeEqual(digest, Buffer.from(candidate.sha256, 'hex'))) {
			found = candidate;
		}
	}

	if (!found) {
		throw unauthenticatedError('the token is not known');
	}

	return found;
};
