import {ServiceError} from '@bergamotgauge/model';
import type {Handlers} from '@bergamotgauge/peer';
import type {Metrics} from '@bergamotgauge/telemetry';
import {MAX_SERVED} from './constants.js';
import type {CallerCall, PeerStatus, RelayedAnswer, RelayedCall} from './types.js';

export type RelayHandlersOptions = Readonly<{
	/** Answers with this instance's store and configuration; never relays. */
	answer: (call: CallerCall) => Promise<unknown>;
	isServing: () => boolean;
	/** Store revision of the configuration. */
	revision: () => number;
	metrics: Metrics;
}>;

const refuse = (reason: string): ServiceError =>
	new ServiceError(reason, {code: 'peer-unavailable', verdict: 'not-run'});

const isText = (value: unknown): value is string => typeof value === 'string';

const parseRelayedCall = (body: unknown): RelayedCall => {
	const {call, minRevision} = (body ?? {}) as Partial<RelayedCall>;
	const isValid =
		typeof minRevision === 'number' &&
		call !== undefined &&
		[call.method, call.host, call.path, call.authorization].every((value) => isText(value));
	if (!isValid) {
		throw new ServiceError('the relayed request is malformed', {code: 'bad-request', verdict: 'not-run'});
	}

	return {call, minRevision};
};

/**
Creates the handlers for requests that peers relay to this instance.

@example
```ts
await startPeerServer({host, port, handlers: createRelayHandlers({answer, isServing, revision, metrics}), lifecycle, log});
```

A request fails with `peer-unavailable` and verdict `not-run` when this instance can't answer it from the store.
*/
export const createRelayHandlers = ({answer, isServing, revision, metrics}: RelayHandlersOptions): Handlers => {
	let served = 0;

	return {
		events: {},
		requests: {
			status: (): PeerStatus => ({isServing: isServing() && served < MAX_SERVED, revision: revision()}),
			async relay(body): Promise<RelayedAnswer> {
				const {call, minRevision} = parseRelayedCall(body);
				if (!isServing()) {
					throw refuse('the instance is not served by the store');
				}

				if (revision() < minRevision) {
					throw refuse('the configuration of the instance is older than that of the request');
				}

				if (served >= MAX_SERVED) {
					throw refuse('the instance answers too many requests of its peers');
				}

				served += 1;
				const handledRevision = revision();
				try {
					const answered = await answer(call);
					metrics.count('relay_served_total', {outcome: 'answered'});
					return {body: answered, revision: handledRevision};
				} catch (error) {
					metrics.count('relay_served_total', {outcome: 'failed'});
					throw error;
				} finally {
					served -= 1;
				}
			},
		},
	};
};
