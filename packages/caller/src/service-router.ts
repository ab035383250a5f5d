import {Buffer} from 'node:buffer';
import type {Dispatcher, EndpointAnswer, EndpointRequest} from '@bergamotgauge/endpoint';
import {newRequestId, ServiceError, type Bundle, type JobClass, type Service} from '@bergamotgauge/model';
import express, {Router, type Request, type Response} from 'express';
import {callerOf, requireAccepting, requireCaller} from './caller.js';
import {
	CLASS_HEADER,
	DEADLINE_HEADER,
	FORWARDED_HEADERS,
	MAX_DEADLINE_MS,
	MAX_REQUEST_BODY_BYTES,
	RETURNED_HEADERS,
	VERDICT_HEADER,
} from './constants.js';
import type {Caller, CallerService} from './types.js';

const badRequest = (message: string): ServiceError =>
	new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});

const findService = (bundle: Bundle | undefined, name: string, caller: Caller): Service => {
	const service = bundle?.services.find((candidate) => candidate.name === name);
	// Another partner's service is reported like one that does not exist.
	if (service?.partner !== caller.partner) {
		throw new ServiceError('no such service', {code: 'not-found', verdict: 'not-run'});
	}

	return service;
};

const classOf = (bundle: Bundle | undefined, service: Service, request: Request): JobClass => {
	const name = request.get(CLASS_HEADER) ?? service.defaultClass;
	const isAllowed = name === service.defaultClass || service.classes.includes(name);
	const found = bundle?.jobClasses.find((candidate) => candidate.name === name);
	if (!isAllowed || !found) {
		throw badRequest(`${CLASS_HEADER} is "${name}"; allowed: ${[service.defaultClass, ...service.classes].join(', ')}`);
	}

	return found;
};

const deadlineOf = (request: Request, requestClass: JobClass): number => {
	const text = request.get(DEADLINE_HEADER);
	if (text === undefined) {
		return requestClass.defaultDeadlineSeconds * 1000;
	}

	const deadlineMs = Number(text);
	if (!Number.isSafeInteger(deadlineMs) || deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
		throw badRequest(`${DEADLINE_HEADER} is "${text}"; allowed: whole milliseconds from 1 to ${MAX_DEADLINE_MS}`);
	}

	return deadlineMs;
};

const forwardedHeaders = (request: Request): Readonly<Record<string, string>> =>
	Object.fromEntries(
		FORWARDED_HEADERS.map((name) => [name, request.get(name)]).filter(([, value]) => value !== undefined),
	) as Readonly<Record<string, string>>;

const sendAnswer = (response: Response, requestId: string, answer: EndpointAnswer): void => {
	response.status(answer.status).set('request-id', requestId).set(VERDICT_HEADER, 'ran');
	for (const name of RETURNED_HEADERS) {
		const value = answer.headers[name];
		if (value !== undefined) {
			response.set(name, value);
		}
	}

	response.end(answer.body);
};

const toEndpointRequest = (service: CallerService, request: Request, caller: Caller): EndpointRequest => {
	const bundle = service.bundle();
	const target = findService(bundle, String(request.params.service), caller);
	const requestClass = classOf(bundle, target, request);
	const mark = request.originalUrl.indexOf('/', '/v1/services/'.length);
	return {
		id: newRequestId(),
		service: target,
		customer: caller.customer,
		requestClass: requestClass.name,
		retryRule: requestClass.retryRule,
		method: request.method,
		path: mark === -1 ? '/' : request.originalUrl.slice(mark),
		headers: forwardedHeaders(request),
		body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
		deadlineMs: deadlineOf(request, requestClass),
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

	const handle = async (request: Request, response: Response) => {
		const caller = callerOf(service, request);
		requireAccepting(service);
		const endpointRequest = toEndpointRequest(service, request, caller);
		const controller = new AbortController();
		response.on('close', () => {
			controller.abort(new ServiceError('the caller went away', {code: 'cancelled', verdict: 'may-have-run'}));
		});
		sendAnswer(response, endpointRequest.id, await dispatcher.dispatch(endpointRequest, controller.signal));
	};

	router.all(['/:service', '/:service/{*path}'], requireCaller(service), raw, handle);
	return router;
};
