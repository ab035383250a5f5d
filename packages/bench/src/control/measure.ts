import {pollUntil} from '@bergamotgauge/harness';
import {sleep} from '@bergamotgauge/lifecycle';
import {ownerOf} from '@bergamotgauge/peer';
import {LOAD_JOBS_PER_SECOND} from './constants.js';
import type {Fleet} from './fleet.js';
import type {Point} from './types.js';

const idsOf = (fleet: Fleet): readonly string[] => [...fleet.instances.keys()];

/** Waits until every instance reports all instances as `alive` in health and `live` in state. */
export const awaitMembers = async (fleet: Fleet): Promise<void> => {
	const ids = idsOf(fleet);
	for (const id of ids) {
		await pollUntil(`all members at ${id}`, async () => {
			const {instances} = await fleet.operator(id).status();
			const alive = instances.filter(({health, state}) => health === 'alive' && state === 'live');
			return alive.length === ids.length ? true : undefined;
		});
	}
};

/** Applies a configuration and returns the time until it is in force on every instance. */
export const applyOnce = async (fleet: Fleet, generation: number, racks: number): Promise<number> => {
	const ids = idsOf(fleet);
	const startedMs = Date.now();
	const declarations = fleet.declarations(racks, generation + 1);
	const accepted = await fleet.operator(ids[generation % ids.length]!).apply(generation, declarations);
	const hasGeneration = (line: string): boolean => line.endsWith(`generation=${accepted}`);
	const inForceEvents = await pollUntil(`generation ${accepted} in force`, async () => {
		const found = fleet.events.filter(({event, line}) => event === 'configuration-in-force' && hasGeneration(line));
		return found.length >= ids.length ? found : undefined;
	});
	return Math.max(...inForceEvents.map(({timeMs}) => timeMs)) - startedMs;
};

type Axis = Pick<Point, 'axis' | 'size'>;

/** Measures store calls, bytes and CPU time while `work` runs. */
export const measureUsage = async (
	fleet: Fleet,
	series: string,
	axis: Axis,
	work: () => Promise<void>,
): Promise<readonly Point[]> => {
	const instances = [...fleet.instances.values()];
	const usageBefore = instances.map((instance) => instance.usage());
	const callsBefore = await fleet.storeCalls();
	const startedMs = performance.now();
	await work();
	const seconds = (performance.now() - startedMs) / 1000;
	const calls = await fleet.storeCalls();
	const used = instances.map((instance, index) => {
		const after = instance.usage();
		const before = usageBefore[index]!;
		return {
			bytes: (after.bytes - before.bytes) / seconds,
			cores: (after.cpuSeconds - before.cpuSeconds) / seconds,
		};
	});
	const rates = Object.entries(calls).map(([kind, count]) => ({
		kind,
		rate: (count - (callsBefore[kind] ?? 0)) / seconds,
	}));
	const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	const point = (name: string, value: number, unit: string): Point => ({
		series: `${series}-${name}`,
		...axis,
		value,
		unit,
	});
	return [
		...rates.map(({kind, rate}) => point(`store-${kind}`, rate, 'calls/s')),
		point(
			'store-calls',
			rates.reduce((sum, {rate}) => sum + rate, 0),
			'calls/s',
		),
		point('bytes', mean(used.map(({bytes}) => bytes)), 'bytes/s per instance'),
		point('bytes-max', Math.max(...used.map(({bytes}) => bytes)), 'bytes/s of the busiest instance'),
		point('cpu', mean(used.map(({cores}) => cores)), 'cores per instance'),
		point('cpu-max', Math.max(...used.map(({cores}) => cores)), 'cores of the busiest instance'),
	];
};

export const submitJob = async (fleet: Fleet, id: string, accelerators: number, runMs: number): Promise<string> => {
	const reply = (await fleet.caller(id).call('POST', '/v1/jobs', {
		jobClass: 'render',
		labels: {work: 'reel'},
		accelerators,
		declaredSeconds: 10,
		payload: {runMs},
	})) as Readonly<{id: string}>;
	return reply.id;
};

/** Submits short jobs at a constant rate, round-robin over all instances. */
export const runLoad = async (fleet: Fleet, seconds: number): Promise<void> => {
	const ids = idsOf(fleet);
	const submitted: Array<Promise<string>> = [];
	for (let index = 0; index < seconds * LOAD_JOBS_PER_SECOND; index += 1) {
		submitted.push(submitJob(fleet, ids[index % ids.length]!, 8, 100));
		await sleep(1000 / LOAD_JOBS_PER_SECOND);
	}

	await Promise.all(submitted);
};

/** Kills or pauses the instance that owns the planner, and returns the time until another instance has placed a new job. */
export const measureTakeover = async (fleet: Fleet, signal: 'SIGKILL' | 'SIGSTOP'): Promise<number> => {
	const owner = ownerOf('planner', idsOf(fleet))!;
	const otherInstance = idsOf(fleet).find((id) => id !== owner)!;
	fleet.instances.get(owner)!.kill(signal);
	const startedMs = Date.now();
	const job = await submitJob(fleet, otherInstance, 8, 100);
	const placed = await pollUntil('takeover', async () =>
		fleet.events.find(({event, instance, line}) => event === 'job-placed' && instance !== owner && line.includes(job)),
	);
	if (signal === 'SIGSTOP') {
		fleet.instances.get(owner)!.kill('SIGCONT');
	} else {
		await fleet.start(owner);
	}

	await awaitMembers(fleet);
	return placed.timeMs - startedMs;
};
