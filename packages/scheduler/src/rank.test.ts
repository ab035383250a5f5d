import t from 'tap';
import {rankOf, type RankInput} from './rank.js';

const rank = (change: Partial<RankInput> = {}) =>
	rankOf({priority: 1, objectiveMs: 4000, ageMs: 0, slackMs: 500, isLongRunning: false, ...change});

// Guards against lasting overload making every job late, as earliest deadline first alone does.
await t.test('work that can still meet its objective goes before work that cannot', async (t) => {
	t.ok(rank() < rank({ageMs: 3000, slackMs: -1}));
});

await t.test('priority outweighs lateness, and work without value left comes last', async (t) => {
	t.ok(rank({priority: 0, slackMs: -1}) < rank({priority: 1}));
	t.ok(rank({priority: 2}) < rank({priority: 0, slackMs: -9000, ageMs: 13_000}));
});

await t.test('among work that can meet its objective the earliest deadline goes first', async (t) => {
	t.ok(rank({ageMs: 1000}) < rank({ageMs: 500}));
});

// Guards against the units of a service that runs for days being ranked as expired: each one must be restarted soon after
// it ends.
await t.test('long-running work never expires', async (t) => {
	t.ok(rank({isLongRunning: true, ageMs: 60_000, slackMs: -56_000}) < rank());
});
