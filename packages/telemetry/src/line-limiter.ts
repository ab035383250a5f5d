import {RateLimiter} from 'limiter';
import {MAX_LINES_PER_SECOND} from './constants.js';

type EventLimit = {readonly limiter: RateLimiter; omitted: number};

/**
Creates a rate limiter that decides for each log line whether it is within the limit of its event name. `onOmitted` receives the number of omitted lines before the next line of that name that is within the limit.

@example
```ts
const isWithinLimit = createLineLimiter((event, omitted) => output.write(`${event}: ${omitted} omitted\n`));
isWithinLimit('unit-ended');
```
*/
export const createLineLimiter = (
	onOmitted: (event: string, omitted: number) => void,
): ((event: string) => boolean) => {
	const limits = new Map<string, EventLimit>();
	return (event) => {
		let limit = limits.get(event);
		if (!limit) {
			limit = {
				limiter: new RateLimiter({tokensPerInterval: MAX_LINES_PER_SECOND, interval: 'second'}),
				omitted: 0,
			};
			limits.set(event, limit);
		}

		if (!limit.limiter.tryRemoveTokens(1)) {
			limit.omitted += 1;
			return false;
		}

		if (limit.omitted > 0) {
			onOmitted(event, limit.omitted);
			limit.omitted = 0;
		}

		return true;
	};
};
