import type {LogLevel} from '@bergamotgauge/telemetry';

/** Checked settings of one instance. */
export type Settings = Readonly<{
	id: string;
	availabilityZone: string;
	/** Address for callers and operators. */
	host: string;
	port: number;
	/** Address for other instances. */
	peerHost: string;
	peerPort: number;
	storeUrl: string;
	instanceListUrl: string;
	/** Hex SHA-256 of the operator token that is valid until the first bundle is applied. */
	bootstrapTokenSha256: string;
	drainSeconds: number;
	logLevel: LogLevel;
}>;

/** A running instance. */
export type Instance = Readonly<{
	/** Bound `host:port` for callers and operators. */
	address: string;
	/** Bound `host:port` for other instances. */
	peerAddress: string;
	/** Shuts down gracefully: finishes the requests in progress, then stops. */
	drain: () => Promise<void>;
	/** Stops without waiting for requests in progress. */
	close: () => Promise<void>;
}>;
