import t from 'tap';
import {rankOf, type RankInput} from './rank.js';

const rank = (change: Partial<RankInput> = {}) =>
	rankOf({priority: 1, objectiveMs: 4000, ageMs: 0, slackMs: 500, isLongRunning: false, ...change});

// Load: a pool under lasting overload, where serving by deadline alone makes every job late.
await t.test('work that can still be in time goes before work that cannot', async (t) => {
	t.ok(rank() < rank({ageMs: 3000, slackMs: -1}));
});

await t.test('priority goes before lateness, and hopeless work comes last', async (t) => {
	t.ok(rank({priority: 0, slackMs: -1}) < rank({priority: 1}));
	t.ok(rank({priority: 2}) < rank({priority: 0, slackMs: -9000, ageMs: 13_000}));
});

await t.test('among work that can be in time the earliest deadline goes first', async (t) => {
	t.ok(rank({ageMs: 1000}) < rank({ageMs: 500}));
});

// Load: a service that runs for days beside batches; each of its units that ends has to run again soon.
await t.test('work without end is never too late', async (t) => {
	t.ok(rank({isLongRunning: true, ageMs: 60_000, slackMs: -56_000}) < rank());
});
