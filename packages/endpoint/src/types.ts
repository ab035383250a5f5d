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

/** Sends requests to endpoints. */
export type Dispatcher = Readonly<{
	/** Replaces the known endpoints. */
	setEndpoints: (endpoints: readonly Endpoint[]) => void;
	/** Gives the answer whole, or throws a ServiceError with its verdict. */
	dispatch: (request: EndpointRequest, signal: AbortSignal) => Promise<EndpointAnswer>;
	/** Requests in progress. */
	inProgress: () => number;
}>;
