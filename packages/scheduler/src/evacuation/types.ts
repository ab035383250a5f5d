/** Requests of the operators in the store to evacuate availability zones: one key for each zone, which is evacuated until the key is removed. */
export type EvacuationRequests = Readonly<{
	/** Key prefix of the requests. */
	prefix: string;
	/** Name of the zone that a key requests to evacuate; `undefined` for a key without one. */
	zoneOf: (key: string) => string | undefined;
}>;
