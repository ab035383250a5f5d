import type {Service} from '@bergamotgauge/model';
import {DEADLINE_RESERVE, DEFAULT_RUN_MS, RUN_TIME_DEVIATIONS, RUN_TIME_SMOOTHING} from './constants.js';

type RunTime = Readonly<{meanMs: number; deviationMs: number}>;

/** Estimates of the run time of requests, by service. */
export type RunTimes = Readonly<{
	meanRunMs: (service: Service) => number;
	/** Time before its deadline at which a waiting request is refused. */
	reserveMs: (request: Readonly<{service: Service; deadlineMs: number}>) => number;
	recordRun: (service: Service, durationMs: number) => void;
}>;

/**
Creates the run-time estimates of one instance.

@example
```ts
const {recordRun, meanRunMs} = createRunTimes();
recordRun(service, 12.5);
meanRunMs(service);
```
*/
export const createRunTimes = (): RunTimes => {
	const runTimes = new Map<string, RunTime>();

	const meanRunMs = (service: Service): number => runTimes.get(service.name)?.meanMs ?? DEFAULT_RUN_MS;

	/** Upper estimate of the run time, which nearly all requests stay below. */
	const upperRunMs = (service: Service): number =>
		meanRunMs(service) + RUN_TIME_DEVIATIONS * (runTimes.get(service.name)?.deviationMs ?? 0);

	/** At most half of the deadline: an estimate high enough to refuse every request would never be corrected by a new measurement. */
	const reserveMs = ({service, deadlineMs}: Readonly<{service: Service; deadlineMs: number}>): number =>
		Math.min(deadlineMs / 2, upperRunMs(service) + deadlineMs * DEADLINE_RESERVE);

	const recordRun = (service: Service, durationMs: number) => {
		const last = runTimes.get(service.name) ?? {meanMs: durationMs, deviationMs: 0};
		const error = durationMs - last.meanMs;
		runTimes.set(service.name, {
			meanMs: last.meanMs + error * RUN_TIME_SMOOTHING,
			deviationMs: last.deviationMs + (Math.abs(error) - last.deviationMs) * RUN_TIME_SMOOTHING,
		});
	};

	return {meanRunMs, reserveMs, recordRun};
};
