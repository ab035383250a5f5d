import {sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {newRequestId} from '@bergamotgauge/model';
import type {Caller, Reply} from './load.js';
import type {Edge, Platform} from './processes.js';

export type FaultResult = Readonly<{
	requests: number;
	/** At-most-once requests that were executed more than once. */
	duplicates: number;
	/** Idempotent requests without a response, responses without an execution, and verdicts `not-run` for executed requests. */
	losses: number;
	/** Responses that belong to another request. */
	mismatched: number;
	/** At-most-once requests that ended without a response, for example with the verdict `may-have-run` or `ran`. */
	uncertain: number;
}>;

type Outcome = Readonly<{body: string; isIdempotent: boolean; verdict: string; responseBody: string | undefined}>;

const DEADLINE_MS = 3000;

/** Time after which a caller abandons an attempt and retries at another instance. */
const CALLER_TIMEOUT_MS = 5000;

const MAX_ATTEMPTS = 20;

const sendOnce = async (
	caller: Caller,
	body: string,
	key: string,
	isIdempotent: boolean,
): Promise<Reply | undefined> => {
	try {
		return await withDeadline(CALLER_TIMEOUT_MS, async () =>
			caller.send({body, deadlineMs: DEADLINE_MS, ...(!isIdempotent && {key, class: 'notice'})}),
		);
	} catch {
		return undefined;
	}
};

const sendUntilSettled = async (callers: readonly Caller[], index: number): Promise<Outcome> => {
	const isIdempotent = index % 2 === 0;
	const body = `track ${index}`;
	const key = newRequestId();
	let verdict = 'none';
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
		const reply = await sendOnce(callers[(index + attempt) % callers.length]!, body, key, isIdempotent);
		if (reply?.status === 200) {
			return {body, isIdempotent, verdict: 'ran', responseBody: reply.body};
		}

		verdict = reply?.verdict ?? 'may-have-run';
		const isFinal = !isIdempotent && reply !== undefined && reply.verdict !== 'not-run' && reply.status !== 409;
		if (isFinal) {
			return {body, isIdempotent, verdict, responseBody: undefined};
		}

		await sleep(200);
	}

	return {body, isIdempotent, verdict, responseBody: undefined};
};

/** Sends idempotent and at-most-once requests while connections stop responding, one instance is killed and one is paused for 3 s. */
export const runFaults = async (
	platform: Platform,
	edge: Edge,
	callers: readonly Caller[],
	durationMs: number,
): Promise<FaultResult> => {
	await platform.sendCommand({kind: 'configure', runMs: 20});
	await platform.sendCommand({kind: 'reset'});
	const startedMs = performance.now();
	const outcomes: Outcome[] = [];
	let next = 0;
	const [, paused, killed] = edge.instances;
	const faults = async () => {
		await sleep(1000);
		await platform.sendCommand({kind: 'silence', endpoint: 'runner-1'});
		await sleep(500);
		killed!.child.kill('SIGKILL');
		await sleep(500);
		paused!.child.kill('SIGSTOP');
		await sleep(3000);
		paused!.child.kill('SIGCONT');
	};

	await Promise.all([
		faults(),
		...Array.from({length: 24}, async () => {
			while (performance.now() - startedMs < durationMs) {
				next += 1;
				outcomes.push(await sendUntilSettled(callers, next));
			}
		}),
	]);
	const {runs} = await platform.sendCommand({kind: 'stats'});
	const runsOf = ({body}: Outcome): number => runs[body] ?? 0;
	return {
		requests: outcomes.length,
		duplicates: outcomes.filter((outcome) => !outcome.isIdempotent && runsOf(outcome) > 1).length,
		losses: outcomes.filter((outcome) => {
			const hasNoResponse = outcome.isIdempotent && outcome.responseBody === undefined;
			const hasFalseVerdict =
				(outcome.verdict === 'not-run' && runsOf(outcome) > 0) ||
				(outcome.responseBody !== undefined && runsOf(outcome) === 0);
			return hasNoResponse || hasFalseVerdict;
		}).length,
		mismatched: outcomes.filter(({responseBody, body}) => responseBody !== undefined && responseBody !== body).length,
		uncertain: outcomes.filter(({responseBody, isIdempotent}) => !isIdempotent && responseBody === undefined).length,
	};
};
