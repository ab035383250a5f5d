import {PROGRESS_WINDOW_MS} from './constants.js';

/** Progress of a run at the time of a report. */
export type ProgressPoint = Readonly<{atMs: number; percent: number}>;

/** Recent progress of a run. The window is short, so that a change of the worker's speed shows soon. */
export type ProgressWindow = Readonly<{base: ProgressPoint; newest: ProgressPoint}>;

export const openWindow = (point: ProgressPoint): ProgressWindow => ({base: point, newest: point});

export const extendWindow = ({base, newest}: ProgressWindow, point: ProgressPoint): ProgressWindow => ({
	base: point.atMs - base.atMs > PROGRESS_WINDOW_MS ? newest : base,
	newest: point,
});

/**
Time that a complete run would take at the speed of the window, in milliseconds. Percentages are whole numbers, so the actual progress may be up to one percent ahead of the reported one.

@example
```ts
projectedRunMs({base: {atMs: 0, percent: 0}, newest: {atMs: 700, percent: 6}}); // 10_000
```
*/
export const projectedRunMs = ({base, newest}: ProgressWindow): number =>
	(100 * (newest.atMs - base.atMs)) / (newest.percent - base.percent + 1);
