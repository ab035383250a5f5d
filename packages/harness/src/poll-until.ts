import {sleep} from '@bergamotgauge/lifecycle';
import {POLL_INTERVAL_MS, POLL_DEADLINE_MS} from './constants.js';

/**
Polls a probe until it returns a value.

@example
```ts
const job = await pollUntil('end of the job', async () => findEnded(id));
```

@throws {Error} when the probe returned no value within `deadlineMs`.
*/
export const pollUntil = async <Result>(
	description: string,
	probe: () => Promise<Result | undefined>,
	deadlineMs = POLL_DEADLINE_MS,
): Promise<Result> => {
	const endMs = Date.now() + deadlineMs;
	for (;;) {
		const result = await probe();
		if (result !== undefined) {
			return result;
		}

		if (Date.now() > endMs) {
			throw new Error(`${description} did not happen within ${deadlineMs} ms`);
		}

		await sleep(POLL_INTERVAL_MS);
	}
};
