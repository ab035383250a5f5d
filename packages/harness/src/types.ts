import type {ChildProcess} from 'node:child_process';
import type {Rack} from '@bergamotgauge/model';

/** Resources that a process has consumed since its start. */
export type ProcessUsage = Readonly<{
	cpuSeconds: number;
	/** Bytes of all read and write calls: sockets, files and log lines. */
	bytes: number;
	/** Resident set size. */
	memoryBytes: number;
}>;

/** A process that the harness started. */
export type StartedProcess = Readonly<{
	name: string;
	child: ChildProcess;
}>;

/** Addresses of the platform's stand-ins, which run as separate processes. */
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
