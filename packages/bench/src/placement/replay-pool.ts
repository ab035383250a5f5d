import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {ReplayResult} from './types.js';

export type ReplayTask = Readonly<{trace: string; policy: string; seed: number; hours: number}>;

/** Number of worker threads; low, because other work runs on the same machine. */
const MAX_THREADS = 4;

const runThread = async (tasks: ReplayTask[], results: ReplayResult[]): Promise<void> => {
	const thread = new Worker(new URL('replay-thread.js', import.meta.url));
	try {
		for (let task = tasks.shift(); task; task = tasks.shift()) {
			thread.postMessage(task);
			// Rejects when the thread emits an error.
			const [result] = (await once(thread, 'message')) as [ReplayResult];
			results.push(result);
		}
	} finally {
		await thread.terminate();
	}
};

/** Runs all replays on worker threads. The results are in order of completion. */
export const runReplays = async (tasks: readonly ReplayTask[]): Promise<readonly ReplayResult[]> => {
	const remainingTasks = [...tasks];
	const results: ReplayResult[] = [];
	await Promise.all(Array.from({length: MAX_THREADS}, async () => runThread(remainingTasks, results)));
	return results;
};
