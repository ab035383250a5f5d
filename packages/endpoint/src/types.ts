import type {IncomingHttpHeaders} from 'node:http';
import type {Labels, RetryRule, Service} from '@bergamotgauge/model';

/** An endpoint as the instance list gives it. */
export type Endpoint = Readonly<{
	id: string;
	/** `host:port`. */
	address: string;
	availabilityZone: string;
	labels: Labels;
	isLeaving: boolean;
}>;

/** A caller's request, read whole. */
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

/** An endpoint's answer, read whole. */
export type EndpointAnswer = Readonly<{
	endpoint: string;
	status: number;
	headers: IncomingHttpHeaders;
	body: Uint8Array;
}>;

/** Why an endpoint is taken to leave: it answered so, or it accepts no connections. */
export type LeavingSign = 'draining' | 'closed';

/** A slot of one endpoint, held for one request. */
export type Reservation = Readonly<{
	endpoint: string;
	/** Gives the slot back; safe to call twice. */
	release: () => void;
}>;

/** Sends requests to endpoints. */
export type Dispatcher = Readonly<{
	/** Replaces the known endpoints. */
	setEndpoints: (endpoints: readonly Endpoint[]) => void;
	/** Holds a slot of the best endpoint of a service; undefined when none is free. */
	reserve: (service: Service) => Reservation | undefined;
	/** Gives the answer whole, or throws a ServiceError with its verdict. Gives the reservation back in any case. */
	dispatch: (request: EndpointRequest, signal: AbortSignal, reservation?: Reservation) => Promise<EndpointAnswer>;
	/** Calls the listener when a slot may have become free. */
	onFree: (listener: () => void) => void;
	/** Takes changed shares into account. */
	refresh: () => void;
	/** Gives an endpoint no new work, on the word of another instance. */
	markLeaving: (endpoint: string, sign: LeavingSign) => void;
	/** Slots of an endpoint in use. */
	used: (endpoint: string) => number;
	/** Slots of a service in use. */
	usedBy: (service: Service) => number;
	/** Whether a service has an endpoint that takes new work. */
	hasEndpoint: (service: Service) => boolean;
	/** Requests in progress. */
	inProgress: () => number;
}>;
