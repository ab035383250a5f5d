import type {ChildProcess} from 'node:child_process';
import type {Rack} from '@bergamotgauge/model';

/** What a process has used since its start. */
export type ProcessUsage = Readonly<{
	cpuSeconds: number;
	bytes: number;
	memoryBytes: number;
}>;

/** A process that the harness started. */
export type StartedProcess = Readonly<{
	name: string;
	child: ChildProcess;
}>;

/** The stand-ins for the platform as processes. */
export type Platform = Readonly<{
	storeUrl: string;
	listUrl: string;
	/** Worker addresses by name. */
	workers: Readonly<Record<string, string>>;
	/** Endpoint addresses by id. */
	endpoints: Readonly<Record<string, string>>;
}>;

export type PlatformOptions = Readonly<{
	racks: readonly Rack[];
	endpointCount: number;
	/** Value of the endpoints' `service` label. */
	service: string;
	availabilityZones: readonly string[];
	listLagMs?: number;
}>;

export type StartedInstance = Readonly<{process: StartedProcess; address: string; peerAddress: string}>;

export {type ListedInstance} from '@bergamotgauge/model';
