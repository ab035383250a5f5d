import t from 'tap';
import {newFullWorker, newPlacement, newPlanPart, newPlanView} from './test/plan-view.js';
import {plan} from './plan/plan.js';
import {DEFAULT_POLICY, isMechanism, MECHANISMS, policyWithout} from './policy.js';

// Guards against an experiment that compares the default with itself.
await t.test('each mechanism changes the policy when it is switched off', async (t) => {
	for (const mechanism of MECHANISMS) {
		t.notSame(policyWithout([mechanism]), DEFAULT_POLICY, mechanism);
	}

	t.equal(policyWithout([]), DEFAULT_POLICY);
	t.notOk(isMechanism('reservations'));
});

// Guards against an experiment that breaks a guarantee.
await t.test('evictions for a guarantee stay when others are switched off', async (t) => {
	const worker = newFullWorker('w0', [newPlacement('saved', {lostWorkCoreMs: 0})]);
	const policy = policyWithout(['uncovered-evictions', 'cheap-evictions']).plan;
	const evictionsFor = (isGuaranteed: boolean) =>
		plan({...newPlanView([worker], [newPlanPart('a', {isGuaranteed, slackMs: 0})]), policy}).evictions.length;
	t.equal(evictionsFor(true), 1);
	t.equal(evictionsFor(false), 0);
});
