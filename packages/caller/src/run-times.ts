import type {Service} from '@bergamotgauge/model';
import {DEADLINE_RESERVE, DEFAULT_RUN_MS, RUN_TIME_DEVIATIONS, RUN_TIME_SMOOTHING} from './constants.js';

type RunTime = Readonly<{meanMs: number; deviationMs: number}>;

/** Estimates of how long requests of a service run. */
export type RunTimes = Readonly<{
	meanRunMs: (service: Service) => number;
	reserveMs: (request: Readonly<{service: Service; deadlineMs: number}>) => number;
	noteRun: (service: Service, tookMs: number) => void;
}>;

/**
Creates the run-time estimates of one instance.

@example
```ts
const {noteRun, meanRunMs} = createRunTimes();
noteRun(service, 12.5);
```
*/
export const createRunTimes = (): RunTimes => {
	const runTimes = new Map<string, RunTime>();

	const meanRunMs = (service: Service): number => runTimes.get(service.name)?.meanMs ?? DEFAULT_RUN_MS;

	/** Time that nearly all runs keep to. */
	const longRunMs = (service: Service): number =>
		meanRunMs(service) + RUN_TIME_DEVIATIONS * (runTimes.get(service.name)?.deviationMs ?? 0);

	/** Time before its deadline at which a waiting request is given up. It is at most half of the deadline, so that a high estimate cannot refuse every request and so never be corrected. */
	const reserveMs = ({service, deadlineMs}: Readonly<{service: Service; deadlineMs: number}>): number =>
		Math.min(deadlineMs / 2, longRunMs(service) + deadlineMs * DEADLINE_RESERVE);

	const noteRun = (service: Service, tookMs: number) => {
		const last = runTimes.get(service.name) ?? {meanMs: tookMs, deviationMs: 0};
		const error = tookMs - last.meanMs;
		runTimes.set(service.name, {
			meanMs: last.meanMs + error * RUN_TIME_SMOOTHING,
			deviationMs: last.deviationMs + (Math.abs(error) - last.deviationMs) * RUN_TIME_SMOOTHING,
		});
	};

	return {meanRunMs, reserveMs, noteRun};
};
