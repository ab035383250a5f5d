import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import type {Machine, MachinePort, MachineReply} from '../maintenance/types.js';

export type MachineFaults = {
	/** Delays of the following orders, which get no response and are carried out late. */
	delaysMs: number[];
	/** Time for which each order waits for a connection before it is sent. */
	connectionWaitMs: number;
	/** Time that the other orders take to be answered. */
	replyMs: number;
	/** For each of the following listings, the machines that it lacks. */
	unlisted: Array<readonly string[]>;
};

/** Simulated machines that follow the protocol for fencing tokens and repeated orders. */
export type ModelMachines = Readonly<{
	port: MachinePort;
	faults: MachineFaults;
	/** Machines whose maintenance has started, in order. */
	started: readonly string[];
	/** Maintenance orders that were sent, with the times at which they were. */
	orders: ReadonlyArray<Readonly<{machineId: string; token: number; atMs: number}>>;
	/** Largest number of machines that were down for maintenance at the same time. */
	maxDown: () => number;
	remove: (machineId: string) => void;
	/** Gives the machine a new worker incarnation, as after a crash. */
	replaceWorker: (machineId: string) => void;
}>;

/** Reactions to the maintenance of the machines. */
export type MachineEvents = Readonly<{
	/** Called when maintenance ends the worker. */
	onDown: (workerId: string) => void;
	/** Called when a new worker joins after the maintenance. */
	onUp: (workerId: string) => void;
}>;

/** Creates machines that use the clock of the runtime, each with a worker `w-ID`. */
export const createModelMachines = (
	ids: readonly string[],
	maintenanceMs: number,
	events?: MachineEvents,
): ModelMachines => {
	const machines = new Map<string, Machine>(
		ids.map((id) => [id, {id, pool: 'matching', state: 'up', workerId: `w-${id}`} as const]),
	);
	const tokens = new Map<string, number>();
	const done = new Set<string>();
	const started: string[] = [];
	const orders: Array<Readonly<{machineId: string; token: number; atMs: number}>> = [];
	const faults: MachineFaults = {delaysMs: [], connectionWaitMs: 0, replyMs: 0, unlisted: []};
	let maxDown = 0;

	const countMachinesDown = () => [...machines.values()].filter(({state}) => state === 'upkeep').length;

	const start = (id: string) => {
		const machine = machines.get(id)!;
		machines.set(id, {...machine, state: 'upkeep', workerId: undefined});
		started.push(id);
		maxDown = Math.max(maxDown, countMachinesDown());
		events?.onDown(machine.workerId!);
		setTimeout(() => {
			const workerId = `${machine.workerId}-next`;
			done.add(id);
			machines.set(id, {...machine, workerId});
			events?.onUp(workerId);
		}, maintenanceMs);
	};

	const maintain = async ({machineId, token}: Parameters<MachinePort['maintain']>[0]): Promise<MachineReply> => {
		const machine = machines.get(machineId);
		if (!machine) {
			return 'no-such-machine';
		}

		if (token < (tokens.get(machineId) ?? 0)) {
			return 'stale-token';
		}

		tokens.set(machineId, token);
		if (done.has(machineId) || machine.state === 'upkeep') {
			return 'accepted';
		}

		start(machineId);
		return 'accepted';
	};

	return {
		faults,
		started,
		orders,
		maxDown: () => maxDown,
		remove(machineId) {
			machines.delete(machineId);
		},
		replaceWorker(machineId) {
			const machine = machines.get(machineId)!;
			machines.set(machineId, {...machine, workerId: `${machine.workerId}-next`});
		},
		port: {
			async list() {
				const unlisted = faults.unlisted.shift() ?? [];
				return [...machines.values()].filter(({id}) => !unlisted.includes(id));
			},
			async maintain(order, maySend) {
				if (faults.connectionWaitMs > 0) {
					await sleep(faults.connectionWaitMs);
				}

				if (!maySend()) {
					throw new ServiceError('not sent', {code: 'machines-unavailable', verdict: 'not-run'});
				}

				orders.push({machineId: order.machineId, token: order.token, atMs: performance.now()});
				const delayMs = faults.delaysMs.shift();
				if (delayMs === undefined) {
					const reply = await maintain(order);
					await sleep(faults.replyMs);
					return reply;
				}

				setTimeout(() => {
					void maintain(order);
				}, delayMs);
				throw new ServiceError('no answer', {code: 'machines-unavailable', verdict: 'may-have-run'});
			},
			async move() {
				throw new Error('moving machines is not simulated');
			},
		},
	};
};
