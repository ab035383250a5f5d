import {sleep} from '@bergamotgauge/lifecycle';
import type {Metrics} from '@bergamotgauge/telemetry';
import {LOOP_SAMPLE_MS} from './constants.js';

export type LoopDelayOptions = Readonly<{
	metrics: Metrics;
	/** Called with each delay, in milliseconds. */
	onDelay: (delayMs: number) => void;
	signal: AbortSignal;
}>;

/**
Measures how late the timers of this process fire until the signal aborts, in the histogram `event_loop_delay_milliseconds`.

@example
```ts
lifecycle.run('loop-delay', async (signal) => watchLoopDelay({metrics, onDelay: startWindow.observeDelay, signal}));
```
*/
export const watchLoopDelay = async ({metrics, onDelay, signal}: LoopDelayOptions): Promise<void> => {
	while (!signal.aborted) {
		const startedMs = performance.now();
		await sleep(LOOP_SAMPLE_MS, signal);
		const delayMs = Math.max(0, performance.now() - startedMs - LOOP_SAMPLE_MS);
		if (!signal.aborted) {
			metrics.observe('event_loop_delay_milliseconds', delayMs);
			onDelay(delayMs);
		}
	}
};
