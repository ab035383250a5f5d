import t from 'tap';
import {createJobRun, partOf} from './job-run.js';
import {rankOf} from './rank.js';
import {newStep, newSubmission, QUEUE} from './test/world.js';

const rank = (change: Readonly<{priority?: number; acceptedMs?: number; slackMs?: number; todayMs?: number}> = {}) => {
	const {priority = 1, acceptedMs = 0, slackMs = 500, todayMs = 0} = change;
	const {name: queue, service, attempts, stretch, targetLatencyMs} = QUEUE;
	const job = {
		...newSubmission(1, [newStep()]),
		queue,
		service,
		attempts,
		stretch,
		targetLatencyMs,
		priority,
		acceptedMs,
		customer: 'acme',
	};
	const run = createJobRun({
		job,
		progress: undefined,
		progressRevision: 0,
		jobRevision: 1,
		isCancelled: false,
		nowMs: todayMs,
	});
	return rankOf(run, partOf(run, 0, 0, 0)!, {objectiveMs: 4000, slackMs, todayMs});
};

// Load: a pool under lasting overload, where serving by deadline alone makes every job late.
await t.test('work that can still be in time goes before work that cannot', async (t) => {
	t.ok(rank({acceptedMs: 3000, todayMs: 3000}) < rank({slackMs: -1, todayMs: 3000}));
});

await t.test('priority goes before lateness, and hopeless work comes last', async (t) => {
	t.ok(rank({priority: 0, slackMs: -1}) < rank({priority: 1}));
	t.ok(rank({priority: 2}) < rank({priority: 0, slackMs: -9000, todayMs: 13_000}));
});

await t.test('among work that can be in time the earliest deadline goes first', async (t) => {
	t.ok(rank({todayMs: 1000}) < rank({acceptedMs: 500, todayMs: 1000}));
});
