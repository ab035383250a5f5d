import {PROGRESS_WINDOW_MS} from './constants.js';

/** Progress that a worker reported, by the time of the report. */
export type ProgressPoint = Readonly<{atMs: number; percent: number}>;

/** The recent progress of a run; short, so that a worker that turns slow or recovers shows soon. */
export type ProgressWindow = Readonly<{base: ProgressPoint; newest: ProgressPoint}>;

export const openWindow = (point: ProgressPoint): ProgressWindow => ({base: point, newest: point});

export const extendWindow = ({base, newest}: ProgressWindow, point: ProgressPoint): ProgressWindow => ({
	base: point.atMs - base.atMs > PROGRESS_WINDOW_MS ? newest : base,
	newest: point,
});

/**
Time that a whole run would take at the speed of the window, in milliseconds. Percentages are whole numbers, so the run may be up to one percent further than it says.

@example
```ts
wholeRunMs({base: {atMs: 0, percent: 0}, newest: {atMs: 700, percent: 6}}); // 10_000
```
*/
export const projectedRunMs = ({base, newest}: ProgressWindow): number =>
	(100 * (newest.atMs - base.atMs)) / (newest.percent - base.percent + 1);
