import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import type {SendOptions} from '../types.js';

export type CallKind = 'start' | 'stop' | 'throttle' | 'renewal';

/** What becomes of a call to the worker. */
export type CallOutcome =
	| 'served'
	/** An unhealthy worker responds with an error and has done nothing. */
	| 'refused'
	/** Carried out, without a response. */
	| 'response-lost'
	/** No response; carried out by `release`, after newer calls. */
	| 'delayed'
	/** No response, and never carried out. */
	| 'dropped'
	/** Given up while it waited for a connection; never sent. */
	| 'unsent';

export type WorkerFaults = {
	/** Network partition: no order arrives and no response leaves. */
	isCutOff: boolean;
	/** One-way network partition: orders arrive and are carried out, and no response leaves. */
	isMute: boolean;
	/** Time for which each call waits for a connection before it is sent. */
	connectionWaitMs: number;
	/** Time after which a report that the worker has composed is read by its requester. */
	reportDelayMs: number;
	/** Ends that one report lists at most; the others follow when these are acknowledged. */
	endsPerReport: number;
	/** Speed of the worker's clock. */
	clockRate: number;
	/** Outcomes of the following calls; each call removes the first one of its kind. */
	script: Record<CallKind, CallOutcome[]>;
	/** Outcomes of the calls after the script, repeated without end; an empty pattern serves all calls. */
	patterns: Record<CallKind, readonly CallOutcome[]>;
	/** Time after which a call without a response or a connection fails at its sender; 0 when the connection ends at once. */
	responseLossMs: number;
	/** Number of following starts that get no response and are carried out by `release`. */
	delayedStarts: number;
	/** Number of following starts that are carried out but whose responses are lost. */
	lostResponses: number;
	/** Number of following long polls that get no response. */
	lostLongPolls: number;
	/** Factor on the run time of runs that start from now on. */
	slowness: number;
	/** Starts need this ticket. */
	ticket?: string;
};

/** Time until a refusal arrives. It is not 0, so that a sender that repeats without a pause still lets a fake clock advance. */
const REFUSAL_MS = 1;

export const createWorkerFaults = (): WorkerFaults => ({
	isCutOff: false,
	isMute: false,
	connectionWaitMs: 0,
	reportDelayMs: 0,
	endsPerReport: 500,
	clockRate: 1,
	script: {start: [], stop: [], throttle: [], renewal: []},
	patterns: {start: [], stop: [], throttle: [], renewal: []},
	responseLossMs: 0,
	delayedStarts: 0,
	lostResponses: 0,
	lostLongPolls: 0,
	slowness: 1,
});

/** Applies the faults to the calls that a worker receives. */
export type FaultyCalls = Readonly<{
	/** Waits for a connection; throws if the call is given up or withdrawn before it is sent. */
	connect: (options?: SendOptions) => Promise<void>;
	/** Carries out the call or not, as the faults say, and resolves to the response; throws if there is none. */
	receive: <Reply>(kind: CallKind, carryOut: () => Reply, refuse: () => Reply, signal?: AbortSignal) => Promise<Reply>;
	/** Throws unless a response can leave the worker. */
	requireResponse: () => void;
	/** Carries out the delayed calls in the order of their arrival. */
	release: () => void;
	/** Drops the delayed calls. */
	clear: () => void;
}>;

/** Creates the fault injection of one worker; the faults may be changed at any time. */
export const createFaultyCalls = (faults: WorkerFaults): FaultyCalls => {
	const delayed: Array<() => void> = [];
	const patternPositions: Record<CallKind, number> = {start: 0, stop: 0, throttle: 0, renewal: 0};

	const noResponse = () => new ServiceError('no answer', {code: 'worker-failed', verdict: 'may-have-run'});

	const loseResponse = async (signal?: AbortSignal): Promise<never> => {
		if (faults.responseLossMs > 0) {
			await sleep(faults.responseLossMs, signal);
		}

		throw noResponse();
	};

	const giveUpUnsent = async (signal?: AbortSignal): Promise<never> => {
		await sleep(faults.responseLossMs, signal);
		throw new ServiceError('no connection', {code: 'worker-failed', verdict: 'not-run'});
	};

	const requireResponse = () => {
		if (faults.isCutOff || faults.isMute) {
			throw noResponse();
		}
	};

	const connect = async (options?: SendOptions) => {
		if (faults.connectionWaitMs > 0) {
			await sleep(faults.connectionWaitMs, options?.signal);
		}

		if (options && (options.signal.aborted || !options.maySend())) {
			throw new ServiceError('not sent', {code: 'worker-failed', verdict: 'not-run'});
		}
	};

	const takeOutcome = (kind: CallKind): CallOutcome => {
		const scripted = faults.script[kind].shift();
		if (scripted) {
			return scripted;
		}

		if (kind === 'start' && faults.delayedStarts > 0) {
			faults.delayedStarts -= 1;
			return 'delayed';
		}

		if (kind === 'start' && faults.lostResponses > 0) {
			faults.lostResponses -= 1;
			return 'response-lost';
		}

		const pattern = faults.patterns[kind];
		const position = patternPositions[kind];
		patternPositions[kind] = position + 1;
		return pattern[position % pattern.length] ?? 'served';
	};

	return {
		connect,
		requireResponse,
		async receive(kind, carryOut, refuse, signal) {
			if (faults.isCutOff) {
				throw noResponse();
			}

			switch (takeOutcome(kind)) {
				case 'served': {
					return carryOut();
				}

				case 'refused': {
					await sleep(REFUSAL_MS);
					return refuse();
				}

				case 'response-lost': {
					carryOut();
					return loseResponse(signal);
				}

				case 'delayed': {
					delayed.push(() => {
						carryOut();
					});
					return loseResponse(signal);
				}

				case 'dropped': {
					return loseResponse(signal);
				}

				case 'unsent': {
					return giveUpUnsent(signal);
				}
			}
		},
		release() {
			for (const carryOut of delayed.splice(0)) {
				carryOut();
			}
		},
		clear() {
			delayed.length = 0;
		},
	};
};
