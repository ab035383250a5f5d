import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {SERVICE_NAME} from './constants.js';

export type Reply = Readonly<{status: number; verdict: string; body: string; tookMs: number}>;

/** Client of one instance or of the baseline. */
export type Caller = Readonly<{
	send: (options?: Readonly<{body?: string; deadlineMs?: number; key?: string; class?: string}>) => Promise<Reply>;
	close: () => Promise<void>;
}>;

export const createCaller = (address: string, token: string, connections: number): Caller => {
	const pool = new Pool(`http://${address}`, {connections, pipelining: 1});
	return {
		async send({body = 'reel', deadlineMs, key, class: requestClass} = {}) {
			const startedMs = performance.now();
			const response = await pool.request({
				method: 'POST',
				path: `/v1/services/${SERVICE_NAME}/match`,
				headers: {
					authorization: `Bearer ${token}`,
					'content-type': 'text/plain',
					...(deadlineMs !== undefined && {'request-deadline-ms': String(deadlineMs)}),
					...(key !== undefined && {'idempotency-key': key}),
					...(requestClass !== undefined && {'request-class': requestClass}),
				},
				body,
			});
			const text = await response.body.text();
			return {
				status: response.statusCode,
				verdict: String(response.headers['request-verdict'] ?? ''),
				body: text,
				tookMs: performance.now() - startedMs,
			};
		},
		close: async () => pool.destroy(),
	};
};

export type LoadResult = Readonly<{
	sent: number;
	/** Responses with status 200 within the deadline. */
	good: number;
	/** Admitted requests that are not `good`: status 200 after the deadline, or another status than 200, 429 and 503. */
	late: number;
	/** Responses with status 429 or 503. */
	refused: number;
	/** Requests without a response. */
	failed: number;
	goodPerSecond: number;
	/** Latencies of the admitted requests in microseconds. */
	histogram: Histogram;
}>;

const createTally = (deadlineMs: number) => {
	const histogram = build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000_000,
		numberOfSignificantValueDigits: 3,
	});
	const counts = {sent: 0, good: 0, late: 0, refused: 0, failed: 0};
	return {
		async track(pendingReply: Promise<Reply>) {
			counts.sent += 1;
			try {
				const {status, tookMs} = await pendingReply;
				if (status === 503 || status === 429) {
					counts.refused += 1;
					return;
				}

				histogram.recordValue(Math.max(1, Math.round(tookMs * 1000)));
				const kind = status === 200 ? (tookMs <= deadlineMs ? 'good' : 'late') : 'late';
				counts[kind] += 1;
			} catch {
				counts.failed += 1;
			}
		},
		result: (elapsedMs: number): LoadResult => ({
			...counts,
			goodPerSecond: (counts.good * 1000) / elapsedMs,
			histogram,
		}),
	};
};

/** Closed-loop load with a fixed number of requests in flight. */
export const runClosedLoop = async (
	callers: readonly Caller[],
	{
		concurrency,
		durationMs,
		deadlineMs = 10_000,
	}: Readonly<{concurrency: number; durationMs: number; deadlineMs?: number}>,
): Promise<LoadResult> => {
	const tally = createTally(deadlineMs);
	const startedMs = performance.now();
	await Promise.all(
		Array.from({length: concurrency}, async (_, index) => {
			const caller = callers[index % callers.length]!;
			while (performance.now() - startedMs < durationMs) {
				await tally.track(caller.send({deadlineMs}));
			}
		}),
	);
	return tally.result(performance.now() - startedMs);
};

/** Open-loop load: sends at a constant rate, independently of the completion of earlier requests. */
export const runOpenLoop = async (
	callers: readonly Caller[],
	{perSecond, durationMs, deadlineMs}: Readonly<{perSecond: number; durationMs: number; deadlineMs: number}>,
): Promise<LoadResult> => {
	const tally = createTally(deadlineMs);
	const startedMs = performance.now();
	const pending: Array<Promise<void>> = [];
	let sent = 0;
	await new Promise<void>((resolve) => {
		const timer = setInterval(() => {
			const elapsedMs = performance.now() - startedMs;
			for (; sent < (Math.min(elapsedMs, durationMs) * perSecond) / 1000; sent += 1) {
				pending.push(tally.track(callers[sent % callers.length]!.send({deadlineMs})));
			}

			if (elapsedMs >= durationMs) {
				clearInterval(timer);
				resolve();
			}
		}, 2);
	});
	await Promise.all(pending);
	// The elapsed time includes the wait for responses to the last requests.
	return tally.result(performance.now() - startedMs);
};
