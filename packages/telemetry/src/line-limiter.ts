import {RateLimiter} from 'limiter';
import {MAX_LINES_PER_SECOND} from './constants.js';

type Limit = {readonly limiter: RateLimiter; omitted: number};

/**
Decides for each line whether it is within the limit of its kind. What was left out is told with the next line of the kind that is within it.

@example
```ts
const isWithinLimit = limitLines((event, omitted) => output.write(`${event}: ${omitted} left out\n`));
isWithinLimit('unit-ended');
```
*/
export const limitLines = (onOmitted: (event: string, omitted: number) => void): ((event: string) => boolean) => {
	const limits = new Map<string, Limit>();
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
