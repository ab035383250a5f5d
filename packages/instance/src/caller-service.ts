import type {Admission, CallerService} from '@bergamotgauge/caller';
import type {ClaimService} from './claims-service.js';
import {bundleOf, type Context} from './context.js';
import type {Engine} from './engine.js';

export type CallerServiceOptions = Readonly<{
	context: Context;
	engine: Engine;
	claims: ClaimService;
	admission: Admission;
}>;

/** Connects the caller API to the instance's jobs, claims and admission. */
export const createCallerService = ({context, engine, claims, admission}: CallerServiceOptions): CallerService => {
	const {jobs, views} = engine;
	return {
		claims,
		admission,
		bundle: () => bundleOf(context.replica),
		isAccepting: () => context.state() === 'live',
		submitJob: jobs.submit,
		async findJob(customer, job) {
			await jobs.refresh(job);
			return views.get(customer, job);
		},
		listJobs: views.list,
		async cancelJob(customer, job) {
			await jobs.refresh(job);
			if (!views.get(customer, job)) {
				return undefined;
			}

			await jobs.update(job, (record) => ({...record, cancelRequested: true}));
			return views.get(customer, job);
		},
	};
};
