import type {AccessToken} from '@bergamotgauge/model';
import type {Status} from '@bergamotgauge/operator';
import type {OwnHeartbeat} from '@bergamotgauge/peer';
import {allJobs, allRacks, bundleOf, type Context} from './context.js';
import {isJobVisible} from './job-views.js';

/** The response to `status`: instances, racks and the configuration in force, as this instance sees them. */
export const statusOf = (context: Context, own: OwnHeartbeat, operator: AccessToken): Status => {
	const bundle = bundleOf(context.replica);
	const racks = allRacks(context.replica);
	const describe = (heartbeat: OwnHeartbeat | undefined, id: string, health: string) => ({
		id,
		health,
		availabilityZone: heartbeat?.availabilityZone ?? '',
		state: heartbeat?.state ?? 'unknown',
		generation: heartbeat?.generation ?? 0,
		revision: heartbeat?.revision ?? 0,
	});
	return {
		answeredBy: context.settings.id,
		generation: bundle?.generation ?? 0,
		instances: [
			describe(own, context.settings.id, 'alive'),
			...context.membership.members().map((member) => describe(member.heartbeat, member.id, member.health)),
		].toSorted((a, b) => a.id.localeCompare(b.id)),
		racks: (bundle?.racks ?? []).map(({name, workers}) => {
			const placements = racks.get(name)?.placements ?? [];
			return {
				rack: name,
				accelerators: workers.reduce((sum, worker) => sum + worker.accelerators, 0),
				used: placements.flatMap(({blocks}) => blocks).reduce((sum, block) => sum + block.count, 0),
				placements: placements.length,
			};
		}),
		queuedJobs: allJobs(context.replica).filter(
			(job) => job.state === 'queued' && isJobVisible(bundle, operator, job.customer),
		).length,
	};
};
