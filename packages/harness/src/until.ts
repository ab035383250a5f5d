import {sleep} from '@bergamotgauge/lifecycle';
import {READY_POLL_MS, STEP_DEADLINE_MS} from './constants.js';

/**
Polls until a probe gives a value.

@example
```ts
const job = await until('end of the job', async () => findEnded(id));
```

@throws {Error} when nothing came within `deadlineMs`.
*/
export const until = async <Result>(
	what: string,
	probe: () => Promise<Result | undefined>,
	deadlineMs = STEP_DEADLINE_MS,
): Promise<Result> => {
	const endMs = Date.now() + deadlineMs;
	for (;;) {
		const result = await probe();
		if (result !== undefined) {
			return result;
		}

		if (Date.now() > endMs) {
			throw new Error(`${what} did not happen within ${deadlineMs} ms`);
		}

		await sleep(READY_POLL_MS);
	}
};
