import {parentPort} from 'node:worker_threads';
import {POLICIES} from './policies/index.js';
import {replayTrace} from './replay.js';
import type {ReplayTask} from './replay-pool.js';
import {TRACES} from './traces/index.js';

parentPort?.on('message', ({trace, policy, seed, hours}: ReplayTask) => {
	const factory = TRACES.find(({name}) => name === trace)!;
	const chosen = POLICIES.find(({name}) => name === policy)!;
	parentPort?.postMessage(replayTrace(factory.create({seed, hours}), chosen, seed));
});
