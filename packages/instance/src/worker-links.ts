import {sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {toServiceError, type Bundle, type TaskReport, type Worker} from '@bergamotgauge/model';
import {LEASE_RENEWAL_INTERVAL_MS, REPORT_WAIT_MS, WORKER_LEASE_MS, type WorkerClient} from '@bergamotgauge/worker';
import {DOWN_WORKER_CHECK_MS, LEASE_MARGIN_MS, WORKER_DOWN_AFTER_MS} from './constants.js';
import {bundleOf, isOwner, type Context} from './context.js';

type Link = {
	readonly client: WorkerClient;
	readonly address: string;
	readonly lifecycle: Lifecycle;
	tasks: readonly TaskReport[] | undefined;
	sequence: number;
	/** Reports with a lower sequence number predate the last call on a task. */
	minSequence: number;
	lastReportMs: number;
	/** Last time that a lease renewal may have reached the worker. */
	lastRenewalMs: number;
};

export type WorkerLinkOptions = Readonly<{
	context: Context;
	createClient: (address: string) => WorkerClient;
	/** Called with each new report. */
	onReport: () => void;
}>;

/** Connections to the workers of the racks that this instance owns. */
export type WorkerLinks = Readonly<{
	client: (worker: string) => WorkerClient | undefined;
	/** Tasks in the newest report; undefined while there is no current report. */
	tasks: (worker: string) => readonly TaskReport[] | undefined;
	/** Treats reports with a lower sequence number as stale. */
	requireSequence: (worker: string, sequence: number) => void;
	isDown: (worker: string) => boolean;
	/** True when the worker has stopped its tasks because its lease has expired. */
	isLeaseExpired: (worker: string) => boolean;
	/** Workers of owned racks that do not respond. */
	down: () => readonly string[];
	/** Opens and closes links according to ownership and configuration. */
	refresh: () => void;
}>;

const addressOf = (context: Context, worker: Worker): string | undefined => {
	const listed = context.list.current().find(({role, id}) => role === 'worker' && id === worker.name);
	return listed ? `http://${listed.address}` : worker.address;
};

const isLinkDown = (link: Link): boolean => Date.now() - link.lastReportMs > REPORT_WAIT_MS + WORKER_DOWN_AFTER_MS;

/** Renews the lease and records when. A renewal that got no response may have reached the worker, so it counts as well. */
const renewLease = async (link: Link): Promise<void> => {
	const sentMs = Date.now();
	let mayHaveRun = true;
	try {
		await link.client.renewLease(WORKER_LEASE_MS);
	} catch (error) {
		mayHaveRun = toServiceError(error, 'may-have-run').verdict !== 'not-run';
		throw error;
	} finally {
		if (mayHaveRun) {
			link.lastRenewalMs = Math.max(sentMs, Date.now());
		}
	}
};

const runLeases = async (link: Link, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		// The lease of a worker that is down must run out, because its work moves elsewhere only after that.
		const isDown = isLinkDown(link);
		if (!isDown) {
			await renewLease(link);
		}

		await sleep(isDown ? DOWN_WORKER_CHECK_MS : LEASE_RENEWAL_INTERVAL_MS, signal);
	}
};

const runReports = async (link: Link, onChange: () => void, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		const report = await link.client.report(link.sequence, link.tasks ? REPORT_WAIT_MS : 0, signal);
		link.lastReportMs = Date.now();
		link.sequence = report.sequence;
		link.tasks = report.tasks;
		onChange();
	}
};

const isLinkExpired = (link: Link): boolean =>
	isLinkDown(link) && Date.now() - link.lastRenewalMs > WORKER_LEASE_MS + LEASE_MARGIN_MS;

/**
Creates the links to the workers of owned racks.

@example
```ts
const links = createWorkerLinks({context, createClient: createWorkerClient, onReport: waker.wake});
links.refresh();
```
*/
export const createWorkerLinks = ({context, createClient, onReport}: WorkerLinkOptions): WorkerLinks => {
	const links = new Map<string, Link>();

	const open = (worker: Worker, address: string) => {
		const lifecycle = context.lifecycle.child(`worker-${worker.name}`);
		const link: Link = {
			client: createClient(address),
			address,
			lifecycle,
			tasks: undefined,
			sequence: 0,
			minSequence: 0,
			lastReportMs: Date.now(),
			// An earlier owner may have renewed the lease until now.
			lastRenewalMs: Date.now(),
		};
		links.set(worker.name, link);
		lifecycle.run('lease', async (signal) => runLeases(link, signal));
		lifecycle.run('report', async (signal) => runReports(link, onReport, signal));
	};

	const close = (name: string, link: Link) => {
		links.delete(name);
		void link.lifecycle.close();
	};

	const ownedWorkers = (bundle: Bundle): ReadonlyMap<string, Worker> =>
		new Map(
			bundle.racks
				.filter((rack) => isOwner(context, `racks/${rack.name}`))
				.flatMap((rack) => rack.workers)
				.map((worker) => [worker.name, worker]),
		);

	const hasMatchingLink = (worker: string, test: (link: Link) => boolean): boolean => {
		const link = links.get(worker);
		return link !== undefined && test(link);
	};

	return {
		client: (worker) => links.get(worker)?.client,
		tasks(worker) {
			const link = links.get(worker);
			if (!link) {
				return undefined;
			}

			if (isLinkExpired(link)) {
				return [];
			}

			return link.sequence >= link.minSequence ? link.tasks : undefined;
		},
		requireSequence(worker, sequence) {
			const link = links.get(worker);
			if (link) {
				link.minSequence = Math.max(link.minSequence, sequence);
			}
		},
		isDown: (worker) => hasMatchingLink(worker, isLinkDown),
		isLeaseExpired: (worker) => hasMatchingLink(worker, isLinkExpired),
		down: () => [...links].filter(([, link]) => isLinkDown(link)).map(([name]) => name),
		refresh() {
			const bundle = bundleOf(context.replica);
			const owned = bundle ? ownedWorkers(bundle) : new Map<string, Worker>();
			for (const [name, link] of links) {
				const worker = owned.get(name);
				if (!worker || addressOf(context, worker) !== link.address) {
					close(name, link);
				}
			}

			for (const worker of owned.values()) {
				const address = addressOf(context, worker);
				if (address !== undefined && !links.has(worker.name)) {
					open(worker, address);
				}
			}
		},
	};
};
