import type {Bundle, JobSpecification, Worker} from '@bergamotgauge/model';
import t from 'tap';
import {eligibleWorker, workerLabels} from './index.js';

// Guards against a derived label that replaces the one an operator declared, so that selectors match other workers.
await t.test('declared labels have precedence over derived ones', async (t) => {
	const worker: Worker = {
		name: 'w1',
		rack: 'r1',
		position: 0,
		availabilityZone: 'a',
		cores: 8,
		memoryGigabytes: 8,
		accelerators: 8,
		guards: true,
		labels: {rack: 'row-7', gpu: 'a100'},
	};
	t.strictSame(workerLabels(worker), {worker: 'w1', availabilityZone: 'a', rack: 'row-7', gpu: 'a100'});
	const bundle = {placementRules: [], customers: []} as unknown as Bundle;
	const jobOn = (rack: string): JobSpecification & Readonly<{customer: string}> => ({
		customer: 'c',
		jobClass: 'render',
		labels: {},
		accelerators: 1,
		coresPerAccelerator: 1,
		memoryGigabytesPerAccelerator: 1,
		declaredSeconds: 1,
		workerSelector: {matchLabels: {rack}},
		payload: null,
	});
	t.equal(eligibleWorker(bundle, jobOn('row-7'))(worker), true);
	t.equal(eligibleWorker(bundle, jobOn('r1'))(worker), false);

	// A placement rule of one partner must not apply to the customers of another partner.
	const rule = {name: 'r', workSelector: {}, workerSelector: {matchLabels: {gpu: 'h100'}}};
	const withRule = (partner: string): Bundle =>
		({placementRules: [{...rule, partner}], customers: [{name: 'c', partner: 'quebec'}]}) as unknown as Bundle;
	t.equal(eligibleWorker(withRule('lima'), jobOn('row-7'))(worker), true);
	t.equal(eligibleWorker(withRule('quebec'), jobOn('row-7'))(worker), false);
});
