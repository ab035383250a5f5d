import t from 'tap';
import {POLICIES} from './policies/index.js';
import {replayTrace} from './replay.js';
import {TRACES} from './traces/index.js';

const replay = (traceName: string, policyName: string) => {
	const trace = TRACES.find(({name}) => name === traceName)!.create({seed: 7, hours: 2});
	return replayTrace(
		trace,
		POLICIES.find(({name}) => name === policyName)!,
		7,
	);
};

// Guards against results that cannot be reproduced from the seed. Timings are excluded: they depend on the machine.
await t.test('a replay depends on its seed alone', async (t) => {
	const {passP99Ms: _first, ...first} = replay('quebec-day', 'ours');
	const {passP99Ms: _second, ...second} = replay('quebec-day', 'ours');
	t.same(first, second);
});

// Guards against a replay that drops jobs, which would improve the results of every policy.
await t.test('every job of a trace ends', async (t) => {
	for (const {name} of POLICIES) {
		const result = replay('small-bursts', name);
		t.equal(result.succeeded + result.unfinished, result.jobs, name);
		t.equal(result.unfinished, 0, name);
	}
});

// Guards against a replay that does not apply outages or failing workers, and against a planner that ends jobs as failed
// because of failing workers.
await t.test('outages lose work and failing workers end only faulty jobs', async (t) => {
	t.ok(replay('rack-loss', 'ours').outageLostShare > 0);
	t.equal(replay('failing-workers', 'ours').wronglyFailed, 0);
});
