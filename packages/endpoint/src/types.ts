import type {IncomingHttpHeaders} from 'node:http';
import type {Labels, RetryRule, Service} from '@bergamotgauge/model';

/** An endpoint as listed in the instance list. */
export type Endpoint = Readonly<{
	id: string;
	/** `host:port`. */
	address: string;
	availabilityZone: string;
	labels: Labels;
	isLeaving: boolean;
}>;

/** A caller's request with its complete body. */
export type EndpointRequest = Readonly<{
	id: string;
	service: Service;
	customer: string;
	requestClass: string;
	retryRule: RetryRule;
	method: string;
	/** Path and query at the endpoint, from `/`. */
	path: string;
	headers: Readonly<Record<string, string>>;
	body: Uint8Array;
	deadlineMs: number;
}>;

/** An endpoint's response with its complete body. */
export type EndpointResponse = Readonly<{
	endpoint: string;
	status: number;
	headers: IncomingHttpHeaders;
	body: Uint8Array;
}>;

/** How an endpoint was found to be leaving: its response reported `draining`, or it accepts no connections. */
export type LeavingReason = 'draining' | 'closed';

/** A slot of one endpoint, reserved for one request. */
export type Reservation = Readonly<{
	endpoint: string;
	/** Releases the slot; idempotent. */
	release: () => void;
}>;

/** Sends requests to endpoints. */
export type Dispatcher = Readonly<{
	/** Replaces the known endpoints. */
	setEndpoints: (endpoints: readonly Endpoint[]) => void;
	/** Reserves a slot of the preferred endpoint of a service; undefined when none is free. */
	reserve: (service: Service) => Reservation | undefined;
	/** Returns the complete response, or throws a ServiceError with its verdict. Releases the reservation in either case. */
	dispatch: (request: EndpointRequest, signal: AbortSignal, reservation?: Reservation) => Promise<EndpointResponse>;
	/** Calls the listener when a slot may have become free. */
	onFree: (listener: () => void) => void;
	/** Applies changed slot shares. */
	refresh: () => void;
	/** Stops sending new requests to an endpoint that another instance reported as leaving. */
	markLeaving: (endpoint: string, reason: LeavingReason) => void;
	/** Slots of an endpoint in use. */
	slotsInUse: (endpoint: string) => number;
	/** Slots of a service in use. */
	slotsInUseBy: (service: Service) => number;
	/** Whether a service has an endpoint that accepts new requests. */
	hasEndpoint: (service: Service) => boolean;
	/** Requests in progress. */
	inProgress: () => number;
}>;
