import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createTestCluster, specificationOf} from './test/test-cluster.js';

// Guards against a job that runs on both sides of a cut, because the side without the store goes on renewing the lease of a worker that the side with the store takes for expired.
await t.test('a job does not run on both sides of a cut between regions', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const cluster = await createTestCluster(2);
	const runningOn = (): readonly string[] =>
		[...cluster.workers.values()]
			.filter(({tasks}) => [...tasks.values()].some(({state}) => state === 'running'))
			.map(({name}) => name);
	let isCut = false;
	const near = cluster.startEngine({id: 'near', isCutOff: () => isCut});
	await near.jobs.submit('alpha', specificationOf(8, {runMs: 60 * 60_000}));
	await clock.tickAsync(2000);
	const [placement] = cluster.racks().flatMap((rack) => rack.placements);
	const {worker} = placement!.blocks[0]!;
	t.same(runningOn(), [worker], 'the job runs before the cut');

	isCut = true;
	const far = cluster.startEngine({
		id: 'far',
		async intercept(name, call) {
			return name.endsWith(` ${worker}`) ? Promise.reject(new Error('no route')) : call();
		},
		isWorkerDead: (name) => name === worker,
	});
	const doubleRuns: string[] = [];
	for (let second = 1; second <= 300; second += 1) {
		await clock.tickAsync(1000);
		const workers = runningOn();
		if (workers.length > 1) {
			doubleRuns.push(`${workers.join(' and ')} at second ${second}`);
		}
	}

	t.same(doubleRuns.slice(0, 1), [], `in ${doubleRuns.length} of 300 s the job runs on two workers`);
	await near.close();
	await far.close();
});
