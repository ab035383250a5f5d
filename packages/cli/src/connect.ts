import {sleep} from '@bergamotgauge/lifecycle';
import {createOperatorClient, type OperatorClient} from '@bergamotgauge/operator';
import {WAIT_POLL_MS} from './constants.js';
import {requireToken} from './options.js';
import type {ConnectionOptions} from './types.js';

/** Creates a client from a command's connection options. */
export const connect = ({url, token}: ConnectionOptions): OperatorClient =>
	createOperatorClient({url, token: requireToken(token)});

/**
Repeats a probe until its result is final or the time limit has passed.

@returns The last result of the probe.
*/
export const pollUntil = async <Result>(
	seconds: number,
	probe: () => Promise<Result>,
	isDone: (result: Result) => boolean,
): Promise<Result> => {
	const deadlineMs = Date.now() + seconds * 1000;
	for (;;) {
		const result = await probe();
		if (isDone(result) || Date.now() > deadlineMs) {
			return result;
		}

		await sleep(WAIT_POLL_MS);
	}
};
