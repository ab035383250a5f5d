import {Buffer} from 'node:buffer';
import type {Dispatcher, EndpointRequest} from '@bergamotgauge/endpoint';
import {newRequestId, ServiceError, type Bundle, type JobClass, type Service} from '@bergamotgauge/model';
import express, {Router, type Request, type RequestHandler, type Response} from 'express';
import {sendAtMostOnce, type RequestResult} from './at-most-once.js';
import type {Candidate} from './admission.js';
import {authenticateCaller, requireAccepting} from './caller.js';
import {
	CLASS_HEADER,
	DEADLINE_HEADER,
	FORWARDED_HEADERS,
	IDEMPOTENCY_KEY_HEADER,
	MAX_DEADLINE_MS,
	MAX_REQUEST_BODY_BYTES,
	REPLAY_HEADER,
	RETURNED_HEADERS,
	VERDICT_HEADER,
} from './constants.js';
import {parseIdempotencyKey} from './idempotency-key.js';
import type {Caller, CallerService} from './types.js';

const SERVICE_PATH = /^\/v1\/services\/(?<name>[^\/?]+)(?<rest>.*)$/iv;

type Locals = {requestHead: RequestHead};

const badRequestError = (message: string): ServiceError =>
	new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});

const headerOf = ({headers}: Request, name: string): string | undefined => {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
};

const findService = (bundle: Bundle | undefined, name: string, caller: Caller): Service => {
	const service = bundle?.services.find((candidate) => candidate.name === name);
	// Another partner's service is reported as not found.
	if (service?.partner !== caller.partner) {
		throw new ServiceError('no such service', {code: 'not-found', verdict: 'not-run'});
	}

	return service;
};

const classOf = (bundle: Bundle | undefined, service: Service, request: Request): JobClass => {
	const name = headerOf(request, CLASS_HEADER) ?? service.defaultClass;
	const isAllowed = name === service.defaultClass || service.classes.includes(name);
	const found = bundle?.jobClasses.find((candidate) => candidate.name === name);
	if (!isAllowed || !found) {
		throw badRequestError(
			`${CLASS_HEADER} is "${name}"; allowed: ${[service.defaultClass, ...service.classes].join(', ')}`,
		);
	}

	return found;
};

const deadlineOf = (request: Request, requestClass: JobClass): number => {
	const text = headerOf(request, DEADLINE_HEADER);
	if (text === undefined) {
		return requestClass.defaultDeadlineSeconds * 1000;
	}

	const deadlineMs = Number(text);
	if (!Number.isSafeInteger(deadlineMs) || deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
		throw badRequestError(`${DEADLINE_HEADER} is "${text}"; allowed: whole milliseconds from 1 to ${MAX_DEADLINE_MS}`);
	}

	return deadlineMs;
};

const forwardedHeaders = ({headers}: Request): Readonly<Record<string, string>> => {
	const forwarded: Record<string, string> = {};
	for (const name of FORWARDED_HEADERS) {
		const value = headers[name];
		if (typeof value === 'string') {
			forwarded[name] = value;
		}
	}

	return forwarded;
};

const sendResponse = (response: Response, {requestId, endpointResponse, isReplay}: RequestResult): void => {
	const headers: Record<string, string | string[] | number> = {
		'request-id': requestId,
		[VERDICT_HEADER]: 'ran',
	};
	if (isReplay) {
		headers[REPLAY_HEADER] = 'true';
	}

	for (const name of RETURNED_HEADERS) {
		const value = endpointResponse.headers[name];
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	if (endpointResponse.status !== 204 && endpointResponse.status !== 304) {
		headers['content-length'] = endpointResponse.body.length;
	}

	// Written directly, because the header setters of express parse each header again.
	response.writeHead(endpointResponse.status, headers);
	response.end(endpointResponse.body);
};

type RequestTarget = Readonly<{service: string; path: string}>;

/** Splits the request target into the service name and the path and query that follow it. */
const parseTarget = (url: string): RequestTarget => {
	const {name, rest} = SERVICE_PATH.exec(url)?.groups ?? {};
	if (name === undefined || rest === undefined) {
		throw badRequestError('the request target must be /v1/services/<service>/<path>');
	}

	return {service: name, path: rest.startsWith('/') ? rest : `/${rest}`};
};

/** The head of a request, authenticated and resolved to its service; the body is not read yet. */
type RequestHead = Readonly<{
	arrivedMs: number;
	caller: Caller;
	target: Service;
	path: string;
	requestClass: JobClass;
	candidate: Candidate;
}>;

const resolveRequestHead = (service: CallerService, request: Request): RequestHead => {
	const caller = authenticateCaller(service, request);
	requireAccepting(service);
	const bundle = service.bundle();
	const {service: name, path} = parseTarget(request.originalUrl);
	const target = findService(bundle, name, caller);
	const requestClass = classOf(bundle, target, request);
	const customer = bundle?.customers.find((candidate) => candidate.name === caller.customer);
	if (!customer) {
		throw new ServiceError(`customer ${caller.customer} is not declared`, {code: 'forbidden', verdict: 'not-run'});
	}

	const deadlineMs = deadlineOf(request, requestClass);
	const candidate = {service: target, customer, urgency: requestClass.urgency, deadlineMs};
	return {arrivedMs: performance.now(), caller, target, path, requestClass, candidate};
};

const toEndpointRequest = (
	request: Request,
	{caller, target, path, requestClass, candidate}: RequestHead,
): EndpointRequest => {
	return {
		id: newRequestId(),
		service: target,
		customer: caller.customer,
		requestClass: requestClass.name,
		retryRule: requestClass.retryRule,
		method: request.method,
		path,
		headers: forwardedHeaders(request),
		body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
		deadlineMs: candidate.deadlineMs,
	};
};

/**
Routes for requests to endpoints below `/v1/services`.

@example
```ts
app.use('/v1/services', createServiceRouter(service, dispatcher));
```
*/
export const createServiceRouter = (service: CallerService, dispatcher: Dispatcher): Router => {
	const router = Router();
	const raw = express.raw({limit: MAX_REQUEST_BODY_BYTES, type: () => true});

	/** Waits for a slot, then sends the request with the remaining deadline. */
	const dispatchOf =
		({candidate, arrivedMs}: RequestHead): Dispatcher['dispatch'] =>
		async (endpointRequest, signal) => {
			const remainingMs = () => candidate.deadlineMs - Math.ceil(performance.now() - arrivedMs);
			const {reservation, done} = await service.admission.enter({...candidate, deadlineMs: remainingMs()}, signal);
			try {
				return await dispatcher.dispatch({...endpointRequest, deadlineMs: remainingMs()}, signal, reservation);
			} finally {
				done();
			}
		};

	const send = async (request: Request, head: RequestHead, signal: AbortSignal): Promise<RequestResult> => {
		const endpointRequest = toEndpointRequest(request, head);
		const dispatch = dispatchOf(head);
		if (endpointRequest.retryRule === 'idempotent') {
			const endpointResponse = await dispatch(endpointRequest, signal);
			return {requestId: endpointRequest.id, endpointResponse, isReplay: false};
		}

		const key = parseIdempotencyKey(headerOf(request, IDEMPOTENCY_KEY_HEADER), Date.now());
		// Checked before the claim, which costs store writes that a refused request need not cause.
		service.admission.check(head.candidate);
		return sendAtMostOnce({claims: service.claims, dispatcher: {dispatch}, key, request: endpointRequest, signal});
	};

	const resolveHead: RequestHandler = (request, response, next) => {
		(response.locals as Locals).requestHead = resolveRequestHead(service, request);
		next();
	};

	const handle = async (request: Request, response: Response) => {
		const controller = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				controller.abort(new ServiceError('the caller disconnected', {code: 'cancelled', verdict: 'may-have-run'}));
			}
		});
		sendResponse(response, await send(request, (response.locals as Locals).requestHead, controller.signal));
	};

	// The target is parsed without route patterns: matching them costs more than processing the whole request head.
	router.use(resolveHead, raw, handle);
	return router;
};
