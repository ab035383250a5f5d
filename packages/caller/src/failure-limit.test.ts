import {ServiceError} from '@bergamotgauge/model';
import t from 'tap';
import {createFailureLimit, MAX_AUTHENTICATION_FAILURES, MAX_COUNTED_ADDRESSES} from './index.js';

// Guards against memory use that grows with the number of attackers, and against counting one address's failures for another.
await t.test('failures are counted for a bounded number of addresses', async (t) => {
	const limit = createFailureLimit();
	const error = new ServiceError('the token is not known', {code: 'unauthenticated', verdict: 'not-run'});
	for (let count = 0; count < MAX_AUTHENTICATION_FAILURES; count += 1) {
		t.equal(limit(error, '10.0.0.1'), error);
	}

	t.match(limit(error, '10.0.0.1'), {code: 'over-quota', status: 429, verdict: 'not-run'});
	t.equal(limit(error, '10.0.0.2'), error);
	for (let index = 0; index < MAX_COUNTED_ADDRESSES; index += 1) {
		limit(error, `other-${index}`);
	}

	t.equal(limit(error, '10.0.0.1'), error, 'the least recently used address is evicted');
});
