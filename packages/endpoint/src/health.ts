import {
	EJECT_AFTER_FAILURES,
	EJECT_FAILURE_RATIO,
	EJECTION_MAX_MS,
	EJECTION_MIN_MS,
	HEALTH_WINDOW,
	PROBATION_SUCCESSES,
} from './constants.js';

export type HealthState = 'healthy' | 'ejected' | 'probation';

/** Health of one endpoint, derived from the results of its requests (outlier detection). */
export type EndpointHealth = Readonly<{
	state: () => HealthState;
	recordSuccess: () => void;
	/** Records a failure; true when the endpoint should be ejected. */
	recordFailure: () => boolean;
	eject: () => void;
}>;

/**
Creates the health record of one endpoint. An ejected endpoint returns through probation; each further ejection before the probation succeeds lasts twice as long as the one before, up to `EJECTION_MAX_MS`.

@example
```ts
if (health.recordFailure() && canEject()) { health.eject(); }
```
*/
export const createEndpointHealth = (): EndpointHealth => {
	let recentResults: boolean[] = [];
	let consecutiveFailures = 0;
	let ejections = 0;
	let ejectedUntilMs: number | undefined;
	let remainingSuccesses = 0;

	const state = (): HealthState => {
		if (ejectedUntilMs === undefined) {
			return 'healthy';
		}

		return performance.now() < ejectedUntilMs ? 'ejected' : 'probation';
	};

	const record = (isSuccess: boolean) => {
		recentResults = [...recentResults, isSuccess].slice(-HEALTH_WINDOW);
		consecutiveFailures = isSuccess ? 0 : consecutiveFailures + 1;
	};

	return {
		state,
		recordSuccess() {
			record(true);
			if (state() !== 'probation') {
				return;
			}

			remainingSuccesses -= 1;
			if (remainingSuccesses <= 0) {
				ejectedUntilMs = undefined;
				ejections = 0;
				recentResults = [];
			}
		},
		recordFailure() {
			record(false);
			const failures = recentResults.filter((isSuccess) => !isSuccess).length;
			return (
				state() === 'probation' ||
				consecutiveFailures >= EJECT_AFTER_FAILURES ||
				(recentResults.length === HEALTH_WINDOW && failures >= HEALTH_WINDOW * EJECT_FAILURE_RATIO)
			);
		},
		eject() {
			ejectedUntilMs = performance.now() + Math.min(EJECTION_MAX_MS, EJECTION_MIN_MS * 2 ** ejections);
			ejections += 1;
			remainingSuccesses = PROBATION_SUCCESSES;
			consecutiveFailures = 0;
			recentResults = [];
		},
	};
};
