import {sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {newRequestId} from '@bergamotgauge/model';
import type {Caller, Reply} from './load.js';
import type {Edge, Platform} from './processes.js';

export type FaultResult = Readonly<{
	requests: number;
	/** At-most-once requests that ran more than once. */
	duplicates: number;
	/** Idempotent requests without an answer, answers without a run, and `not-run` for a request that ran. */
	losses: number;
	/** Answers that belong to another request. */
	mismatched: number;
	/** At-most-once requests that ended as `may-have-run` or `ran` without their answer. */
	uncertain: number;
}>;

type Outcome = Readonly<{body: string; isIdempotent: boolean; verdict: string; answer: string | undefined}>;

const DEADLINE_MS = 3000;

/** A caller gives an instance up after this time and repeats the request at another one. */
const CALLER_PATIENCE_MS = 5000;

const MAX_REPEATS = 20;

const attempt = async (
	caller: Caller,
	body: string,
	key: string,
	isIdempotent: boolean,
): Promise<Reply | undefined> => {
	try {
		return await withDeadline(CALLER_PATIENCE_MS, async () =>
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
	for (let repeat = 0; repeat < MAX_REPEATS; repeat += 1) {
		const reply = await attempt(callers[(index + repeat) % callers.length]!, body, key, isIdempotent);
		if (reply?.status === 200) {
			return {body, isIdempotent, verdict: 'ran', answer: reply.body};
		}

		verdict = reply?.verdict ?? 'may-have-run';
		const isFinal = !isIdempotent && reply !== undefined && reply.verdict !== 'not-run' && reply.status !== 409;
		if (isFinal) {
			return {body, isIdempotent, verdict, answer: undefined};
		}

		await sleep(200);
	}

	return {body, isIdempotent, verdict, answer: undefined};
};

/** Sends both kinds of requests while connections go silent, one instance is killed and one is frozen for 3 s. */
export const runFaults = async (
	platform: Platform,
	edge: Edge,
	callers: readonly Caller[],
	ms: number,
): Promise<FaultResult> => {
	await platform.tell({kind: 'configure', runMs: 20});
	await platform.tell({kind: 'reset'});
	const startedMs = performance.now();
	const outcomes: Outcome[] = [];
	let next = 0;
	const [, frozen, killed] = edge.instances;
	const faults = async () => {
		await sleep(1000);
		await platform.tell({kind: 'silence', endpoint: 'runner-1'});
		await sleep(500);
		killed!.child.kill('SIGKILL');
		await sleep(500);
		frozen!.child.kill('SIGSTOP');
		await sleep(3000);
		frozen!.child.kill('SIGCONT');
	};

	await Promise.all([
		faults(),
		...Array.from({length: 24}, async () => {
			while (performance.now() - startedMs < ms) {
				next += 1;
				outcomes.push(await sendUntilSettled(callers, next));
			}
		}),
	]);
	const {runs} = await platform.tell({kind: 'stats'});
	const runsOf = ({body}: Outcome): number => runs[body] ?? 0;
	return {
		requests: outcomes.length,
		duplicates: outcomes.filter((outcome) => !outcome.isIdempotent && runsOf(outcome) > 1).length,
		losses: outcomes.filter((outcome) => {
			const isUnanswered = outcome.isIdempotent && outcome.answer === undefined;
			const isFalse =
				(outcome.verdict === 'not-run' && runsOf(outcome) > 0) ||
				(outcome.answer !== undefined && runsOf(outcome) === 0);
			return isUnanswered || isFalse;
		}).length,
		mismatched: outcomes.filter(({answer, body}) => answer !== undefined && answer !== body).length,
		uncertain: outcomes.filter(({answer, isIdempotent}) => !isIdempotent && answer === undefined).length,
	};
};
