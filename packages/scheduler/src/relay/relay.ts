import {sleep} from '@bergamotgauge/lifecycle';
import {type ServiceError, toServiceError} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {
	MAX_RELAYED,
	PEER_WAIT_MS,
	RELAY_AFTER_MS,
	RELAY_ATTEMPTS,
	RELAY_ATTEMPT_MS,
	RELAY_DEADLINE_MS,
	RELAY_MIN_MS,
} from './constants.js';
import {combineErrors, isDefinite, isStoreFailure, type Outcome} from './outcomes.js';
import type {PeerProbes} from './peer-probes.js';
import type {CallerCall, RelayedAnswer, RelayedCall} from './types.js';

export type RelayCallOptions = Readonly<{
	/** Aborts when the caller has left. */
	signal: AbortSignal;
	/** Time that the caller waits; `RELAY_DEADLINE_MS` by default. */
	deadlineMs?: number | undefined;
}>;

/** Answers callers' requests here or by a peer. */
export type Relay = Readonly<{
	/** Resolves with the body of the answer; `local` answers with this instance's store and configuration. */
	answer: (call: CallerCall, local: () => Promise<unknown>, options: RelayCallOptions) => Promise<unknown>;
	/** Whether this instance can answer callers from the store at present. */
	isServing: () => boolean;
}>;

export type RelayOptions = Readonly<{
	probes: PeerProbes;
	/** Whether the last store call got no response. */
	isStoreInDoubt: () => boolean;
	/** Store revision of the configuration, if it is current; otherwise `undefined`. */
	currentRevision: () => number | undefined;
	/** The newest configuration revision that a caller of this instance may have seen. */
	seenRevision: Readonly<{get: () => number; raise: (revision: number) => void}>;
	log: Log;
	metrics: Metrics;
	now: () => number;
}>;

const settle = async (answering: Promise<unknown>): Promise<Outcome> => {
	try {
		return {kind: 'answered', body: await answering};
	} catch (error) {
		return {kind: 'failed', error: toServiceError(error, 'may-have-run')};
	}
};

const unwrap = (outcome: Outcome): unknown => {
	if (outcome.kind === 'answered') {
		return outcome.body;
	}

	throw outcome.error;
};

const errorOf = (outcome: Outcome | undefined): ServiceError | undefined =>
	outcome?.kind === 'failed' ? outcome.error : undefined;

/**
Creates the relay of an instance.

@example
```ts
const relay = createRelay({probes, isStoreInDoubt, currentRevision, seenRevision, log, metrics, now});
const body = await relay.answer(call, async () => answerLocally(call), {signal});
```

`answer` rejects with the error of the instance that has answered, or with `deadline-exceeded` and verdict `may-have-run` when an attempt may have had an effect that is not known.
*/
export const createRelay = (options: RelayOptions): Relay => {
	const {probes, isStoreInDoubt, currentRevision, seenRevision, log, metrics, now} = options;
	let relayed = 0;

	const isServing = (): boolean => (currentRevision() ?? -1) >= seenRevision.get() && !isStoreInDoubt();

	/** Sends the request to one peer after the other until one has answered; `undefined` if it was sent to none. */
	const askPeers = async (call: CallerCall, untilMs: number, signal: AbortSignal): Promise<Outcome | undefined> => {
		const tried = new Set<string>();
		const errors: ServiceError[] = [];
		while (tried.size < RELAY_ATTEMPTS && !signal.aborted && untilMs - now() > RELAY_MIN_MS) {
			const peer = await probes.find(tried, Math.min(PEER_WAIT_MS, untilMs - now()), signal);
			if (!peer || signal.aborted) {
				break;
			}

			const {record, link} = peer;
			tried.add(record.id);
			const request: RelayedCall = {call, minRevision: seenRevision.get()};
			const attemptMs = Math.max(RELAY_MIN_MS, Math.min(RELAY_ATTEMPT_MS, untilMs - now()));
			const outcome = await settle(link.call('relay', request, attemptMs));
			if (outcome.kind === 'answered') {
				const {body, revision} = outcome.body as RelayedAnswer;
				seenRevision.raise(revision);
				return {kind: 'answered', body};
			}

			const {error} = outcome;
			errors.push(error);
			if (!isStoreFailure(outcome)) {
				break;
			}

			log.info('relay-attempt-failed', {peer: record.id, verdict: error.verdict, error: error.message});
			probes.markFailed(record.id);
		}

		const last = errors.at(-1);
		return last && {kind: 'failed', error: combineErrors(call, errors, last)};
	};

	const relay = async (call: CallerCall, untilMs: number, signal: AbortSignal): Promise<Outcome | undefined> => {
		if (relayed >= MAX_RELAYED) {
			metrics.count('relay_requests_total', {outcome: 'full'});
			return undefined;
		}

		relayed += 1;
		const startedMs = now();
		try {
			const outcome = await askPeers(call, untilMs, signal);
			metrics.count('relay_requests_total', {
				outcome: outcome === undefined ? 'no-peer' : (errorOf(outcome)?.code ?? 'answered'),
			});
			metrics.observe('relay_request_milliseconds', now() - startedMs, {method: call.method});
			return outcome;
		} finally {
			relayed -= 1;
		}
	};

	/** The outcome of the own attempt, unless it takes long and the store is in doubt. */
	const waitForOwn = async (own: Promise<Outcome>): Promise<Outcome | undefined> => {
		const controller = new AbortController();
		const early = await Promise.race([
			own,
			(async () => {
				await sleep(RELAY_AFTER_MS, controller.signal);
				return undefined;
			})(),
		]);
		controller.abort();
		return early ?? (isStoreInDoubt() ? undefined : own);
	};

	return {
		isServing,
		async answer(call, local, {signal, deadlineMs = RELAY_DEADLINE_MS}) {
			const untilMs = now() + deadlineMs;
			let own: Promise<Outcome> | undefined;
			if (isServing()) {
				own = settle(local());
				const early = await waitForOwn(own);
				if (early && !isStoreFailure(early)) {
					return unwrap(early);
				}
			}

			const outcome = await relay(call, untilMs, signal);
			if (outcome?.kind === 'answered') {
				return outcome.body;
			}

			const {error} = outcome ?? {};
			const hasPeerDecided = outcome !== undefined && !isStoreFailure(outcome);
			if (error && hasPeerDecided && (own === undefined || isDefinite(call, error))) {
				throw error;
			}

			const ownOutcome = await (own ?? settle(local()));
			if (ownOutcome.kind === 'answered') {
				return ownOutcome.body;
			}

			if (error) {
				throw hasPeerDecided
					? combineErrors(call, [ownOutcome.error], error)
					: combineErrors(call, [error], ownOutcome.error);
			}

			throw ownOutcome.error;
		},
	};
};
