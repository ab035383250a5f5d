import {OBJECTIVE_EXPIRY_FACTOR} from './constants.js';

/** Steps between the ranks of two priorities; larger than any time within a day, in milliseconds. */
const PRIORITY_OFFSET = 1e9;

/** Added to the rank of work that will miss its objective: what can still be in time goes first. */
const LATE_OFFSET = 1e8;

/** Added to the rank of work that is too late to be of use. */
const EXPIRED_OFFSET = 1e11;

export type RankInput = Readonly<{
	/** Priority of the part's job; 0 comes first. */
	priority: number;
	/** Time within which the job should complete, in milliseconds. */
	objectiveMs: number;
	/** Time since the job was due; for work without end, since the part stopped running. */
	ageMs: number;
	/** Time for which the part can still wait; negative when its job will be late. */
	slackMs: number;
	/** The part runs until it is stopped. */
	isLongRunning: boolean;
}>;

/**
Order of service of a part, lower first: by priority, then by the time at which its job should be complete. Under overload that order alone would make all work a little late, so work that will miss its objective (`slackMs` below 0) lets work that can still meet it go first; work that is too late to be of use comes last.

@example
```ts
rankOf({priority: 1, objectiveMs: 4000, ageMs: 500, slackMs: 1500, isEndless: false});
```
*/
export const rankOf = ({priority, objectiveMs, ageMs, slackMs, isLongRunning}: RankInput): number => {
	// Work without end earns from the moment at which it runs again, however late that is.
	const isExpired = !isLongRunning && ageMs > OBJECTIVE_EXPIRY_FACTOR * objectiveMs;
	const isLate = !isLongRunning && slackMs < 0;
	const leftMs = objectiveMs - ageMs;
	return priority * PRIORITY_OFFSET + leftMs + (isExpired ? EXPIRED_OFFSET : 0) + (isLate ? LATE_OFFSET : 0);
};
