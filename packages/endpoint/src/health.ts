import {
	EJECT_AFTER_FAILURES,
	EJECT_FAILURE_RATIO,
	EJECTION_MAX_MS,
	EJECTION_MIN_MS,
	HEALTH_WINDOW,
	PROBATION_SUCCESSES,
} from './constants.js';

export type HealthState = 'healthy' | 'ejected' | 'probation';

/** The evidence on one endpoint. */
export type EndpointHealth = Readonly<{
	state: () => HealthState;
	succeed: () => void;
	/** Notes a failure; true when there is enough evidence to eject. */
	fail: () => boolean;
	eject: () => void;
}>;

/**
Creates the record of one endpoint's results. An ejected endpoint comes back by probation; each ejection in a row lasts twice as long.

@example
```ts
if (health.fail() && mayEject()) { health.eject(); }
```
*/
export const createEndpointHealth = (): EndpointHealth => {
	let recent: boolean[] = [];
	let failuresInRow = 0;
	let ejections = 0;
	let ejectedUntilMs: number | undefined;
	let successesLeft = 0;

	const state = (): HealthState => {
		if (ejectedUntilMs === undefined) {
			return 'healthy';
		}

		return performance.now() < ejectedUntilMs ? 'ejected' : 'probation';
	};

	const note = (isGood: boolean) => {
		recent = [...recent, isGood].slice(-HEALTH_WINDOW);
		failuresInRow = isGood ? 0 : failuresInRow + 1;
	};

	return {
		state,
		succeed() {
			note(true);
			if (state() !== 'probation') {
				return;
			}

			successesLeft -= 1;
			if (successesLeft <= 0) {
				ejectedUntilMs = undefined;
				ejections = 0;
				recent = [];
			}
		},
		fail() {
			note(false);
			const failures = recent.filter((isGood) => !isGood).length;
			return (
				state() === 'probation' ||
				failuresInRow >= EJECT_AFTER_FAILURES ||
				(recent.length === HEALTH_WINDOW && failures >= HEALTH_WINDOW * EJECT_FAILURE_RATIO)
			);
		},
		eject() {
			ejectedUntilMs = performance.now() + Math.min(EJECTION_MAX_MS, EJECTION_MIN_MS * 2 ** ejections);
			ejections += 1;
			successesLeft = PROBATION_SUCCESSES;
			failuresInRow = 0;
			recent = [];
		},
	};
};
