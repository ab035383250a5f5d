import {OBJECTIVE_EXPIRY_FACTOR} from './constants.js';

/** Distance between the ranks of two priorities, in milliseconds; larger than any time within a day. */
const PRIORITY_OFFSET = 1e9;

/** Added to the rank of work that will miss its objective, so that work that can still meet its own goes first. */
const LATE_OFFSET = 1e8;

/** Added to the rank of work that is so late that it has no value left. */
const EXPIRED_OFFSET = 1e11;

/** Whether work of the rank has no value left. */
export const isExpiredRank = (rank: number): boolean => rank > EXPIRED_OFFSET / 2;

export type RankInput = Readonly<{
	/** Priority of the part's job; 0 is the highest. */
	priority: number;
	/** Time within which the job should complete, in milliseconds. */
	objectiveMs: number;
	/** Time since the job was due; for long-running work, since the part stopped running. */
	ageMs: number;
	/** Time for which the part can still wait without its job missing the objective; negative if it will miss it. */
	slackMs: number;
	/** The part runs until it is stopped. */
	isLongRunning: boolean;
}>;

/** Rank by priority, then by earliest deadline. */
export const rankByUrgency = ({priority, objectiveMs, ageMs}: RankInput): number =>
	priority * PRIORITY_OFFSET + objectiveMs - ageMs;

/**
Rank of a part, lower first: by priority, then by earliest deadline. Under overload, earliest deadline first alone would make all work slightly late, so work that will miss its objective (`slackMs` below 0) ranks after work that can still meet it, and work that has no value left ranks last.

@example
```ts
rankOf({priority: 1, objectiveMs: 4000, ageMs: 500, slackMs: 1500, isLongRunning: false});
```
*/
export const rankOf = (input: RankInput): number => {
	const {objectiveMs, ageMs, slackMs, isLongRunning} = input;
	// Long-running work has value from the moment at which it runs again, however late that is.
	const isExpired = !isLongRunning && ageMs > OBJECTIVE_EXPIRY_FACTOR * objectiveMs;
	const isLate = !isLongRunning && slackMs < 0;
	return rankByUrgency(input) + (isExpired ? EXPIRED_OFFSET : 0) + (isLate ? LATE_OFFSET : 0);
};
