import t from 'tap';
import {connectionShare} from './index.js';

// Guards against more connections than an endpoint accepts, and against a slot without a connection.
await t.test('connection shares add up to at most the declared connections', async (t) => {
	const service = {slots: 8, connections: 60};
	for (const shares of [[8], [1, 7], [2, 3, 3], [1, 1, 1, 1, 1, 1, 1, 1], [0, 5, 3]]) {
		const parts = shares.map((share) => connectionShare(share, service));
		t.ok(parts.reduce((sum, part) => sum + part, 0) <= service.connections);
		t.ok(parts.every((part, index) => part >= shares[index]!));
	}
});
