import type {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ServiceError} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {createBodyBudget, type Holding} from './body-budget.js';
import {createBodyBuffers} from './body-buffers.js';
import {createRefusal, readBody, type BodyReading} from './body.js';
import {refuseUnreadableRequests} from './client-errors.js';
import {createConnections} from './connections.js';
import {
	MAX_DEPTH,
	MAX_PARSED_SHARE,
	RUNNING_BYTES,
	SMALL_PIECES_MEMORY_MS,
	SPARE_BUFFERS_SHARE,
	UPDATE_MS,
} from './constants.js';
import {respondEarly, type EarlyResponse} from './early-response.js';
import {estimateJsonCost} from './json-cost.js';
import {createReport} from './report.js';
import {createSmallPieces} from './small-pieces.js';
import type {IngressLimits, RefusalCause} from './types.js';

export type BodyOptions = Readonly<{customer: string; maxBytes: number}>;

/** Limits that the operators' configuration may set. */
export type HeadLimits = Partial<Pick<IngressLimits, 'maxHeaderBytes' | 'headerTimeoutMs' | 'idleTimeoutMs'>>;

/** Protects the listeners of one process. */
export type Ingress = Readonly<{
	/** Applies the limits to a server: one for callers, or one for probes. */
	protect: (server: Server, kind: 'callers' | 'probes') => void;
	/** Applies head limits to all protected servers, for connections from then on. */
	configure: (limits: HeadLimits) => void;
	/** Reads and parses a JSON body within the budget, once route and key of its request are known; `undefined` when it is empty. */
	readJson: (request: IncomingMessage, options: BodyOptions) => Promise<unknown>;
	/** Notes that the request runs from here on; it is neither refused nor is its connection closed before its response. */
	passOn: (request: IncomingMessage, response: ServerResponse, customer: string) => void;
	/** Gives back what the request holds; to be called when its handling has ended. */
	release: (request: IncomingMessage) => void;
	/** Whether the request is to be handled; the connections of others are being closed. */
	isAccepted: (request: IncomingMessage) => boolean;
	/** To be called when the body of the request will not be read: if its length is unknown, it is dropped, and the connection ends after the response. */
	endAfter: (request: IncomingMessage) => void;
	/** Whether the connection ends after the response to the request that is handled now. */
	isLast: (request: IncomingMessage) => boolean;
	/** Responds to a request before its body was read to its end, and closes the connection. */
	respondEarly: (request: IncomingMessage, response: ServerResponse, early: EarlyResponse) => void;
	/** Ends the checks. */
	close: () => void;
}>;

export type IngressOptions = Readonly<{
	limits: IngressLimits;
	log: Log;
	metrics: Metrics;
	/** Header lines of responses to requests that cannot be read. */
	headers?: readonly string[];
}>;

type Reading = Readonly<{reading: BodyReading; request: IncomingMessage; customer: string; isChunked: boolean}>;

const now = () => performance.now();

/** Whether only the end of the body tells its length. */
const hasUnknownLength = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined;

/**
Creates the protection of a process against clients that take too much of its memory, connections or time.

@example
```ts
const ingress = createIngress({limits: createLimits(machine), log, metrics});
ingress.protect(server, 'callers');
const body = await ingress.readJson(request, {customer: 'acme', maxBytes: 262_144});
```
*/
export const createIngress = ({limits, log, metrics, headers = []}: IngressOptions): Ingress => {
	const servers = new Set<Server>();
	const budget = createBodyBudget({limits, now});
	const buffers = createBodyBuffers(limits.budgetBytes * SPARE_BUFFERS_SHARE);
	const holdings = new WeakMap<IncomingMessage, Holding>();
	const readings = new Set<Reading>();
	const smallPieces = createSmallPieces<Holding>({max: limits.maxSmallPieceBodies, stallMs: limits.stallMs, now});
	/** By customer, the time until which bodies of unknown length are few at a time. */
	const crowdedUntilMs = new Map<string, number>();
	const report = createReport({log, metrics, budgetBytes: limits.budgetBytes});
	const connections = createConnections({limits, now, onClosed: report.countClosed});
	let headLimits: HeadLimits = {};

	const applyHeadLimits = (server: Server) => {
		const {maxHeaderBytes, headerTimeoutMs, idleTimeoutMs} = {...limits, ...headLimits};
		// Node reads all of these when a connection or a request begins.
		Object.assign(server, {maxHeaderSize: maxHeaderBytes});
		server.headersTimeout = headerTimeoutMs;
		// A body may take any time; one of which no more arrives ends by `timeout`.
		server.requestTimeout = 0;
		server.keepAliveTimeout = idleTimeoutMs;
		server.timeout = idleTimeoutMs;
	};

	const timer = setInterval(() => {
		report.update({heldBytes: budget.heldBytes(), requests: budget.count(), connections: connections.count()});
	}, UPDATE_MS);
	timer.unref();

	/** Refuses the request of which no more has arrived, or closes the connection if there is none. */
	const timeOut = (socket: Socket) => {
		const entry = [...readings].find(({request}) => request.socket === socket);
		if (entry) {
			entry.reading.giveUp('too-slow');
		} else {
			connections.timeOut(socket);
		}
	};

	/** Counts a refusal. */
	const refuse = (cause: RefusalCause): ServiceError => {
		report.countRefused(cause);
		return createRefusal(cause);
	};

	const openHolding = (
		request: IncomingMessage,
		customer: string,
		giveUp: (cause: RefusalCause) => void = () => {},
	): Holding => {
		const holding = budget.open({customer, source: request.socket.remoteAddress ?? ''}, giveUp);
		holdings.set(request, holding);
		return holding;
	};

	/** Drops the rest of a body of unknown length at once: what was read already may hold thousands of pieces of it. */
	const endAfter = (request: IncomingMessage) => {
		if (hasUnknownLength(request)) {
			connections.endAfter(request);
		}
	};

	/** Whether a body of the customer was refused lately for its small pieces, and enough others of unknown length are read. */
	const isCrowdedBySmallPieces = (customer: string): boolean =>
		now() < (crowdedUntilMs.get(customer) ?? 0) &&
		[...readings].filter((reading) => reading.isChunked && reading.customer === customer).length >=
			limits.maxSmallPieceBodies;

	const read = async (request: IncomingMessage, {customer, maxBytes}: BodyOptions): Promise<Buffer> => {
		const isChunked = hasUnknownLength(request);
		if (isChunked && isCrowdedBySmallPieces(customer)) {
			endAfter(request);
			throw refuse('small-pieces');
		}

		let giveUp: (cause: RefusalCause) => void = () => {};
		const holding = openHolding(request, customer, (cause) => {
			giveUp(cause);
		});
		const reading = readBody(request, {
			maxBytes,
			buffers,
			holding,
			onPiece() {
				if (isChunked) {
					connections.awaitTurn(request.socket);
				}
			},
			maySendSmallPieces(pieces) {
				const mayGoOn = smallPieces.mayGoOn(holding, pieces);
				if (!mayGoOn) {
					crowdedUntilMs.set(customer, now() + SMALL_PIECES_MEMORY_MS);
				}

				return mayGoOn;
			},
			onGivenUp() {
				endAfter(request);
			},
		});
		giveUp = reading.giveUp;
		const entry = {reading, request, customer, isChunked};
		readings.add(entry);
		try {
			return await reading.body;
		} catch (error) {
			holding.release();
			report.countRefused((error as ServiceError).details.cause as RefusalCause);
			throw error;
		} finally {
			readings.delete(entry);
			smallPieces.remove(holding);
		}
	};

	const parseJson = (request: IncomingMessage, body: Buffer): unknown => {
		const {depth, bytes} = estimateJsonCost(body);
		const isTooComplex = depth > MAX_DEPTH || bytes > limits.budgetBytes * MAX_PARSED_SHARE;
		const cause = isTooComplex ? 'too-large' : holdings.get(request)?.grow(bytes);
		if (cause) {
			throw refuse(cause);
		}

		try {
			return JSON.parse(body.toString()) as unknown;
		} catch (error) {
			throw new ServiceError(`the body is not JSON: ${(error as Error).message}`, {
				code: 'bad-request',
				verdict: 'not-run',
			});
		}
	};

	return {
		protect(server, kind) {
			servers.add(server);
			applyHeadLimits(server);
			connections.watch(server, kind === 'callers' ? limits.maxConnections : limits.maxProbeConnections);
			refuseUnreadableRequests(server, {connections, headers});
			server.on('timeout', timeOut);
		},
		configure(next) {
			headLimits = next;
			for (const server of servers) {
				applyHeadLimits(server);
			}
		},
		async readJson(request, options) {
			const body = await read(request, options);
			try {
				return body.length === 0 ? undefined : parseJson(request, body);
			} finally {
				buffers.giveBack(body);
			}
		},
		passOn(request, response, customer) {
			const holding = holdings.get(request) ?? openHolding(request, customer);
			const cause = holding.grow(RUNNING_BYTES);
			if (cause) {
				throw refuse(cause);
			}

			holding.passOn();
			connections.passOn(request, response);
		},
		release(request) {
			holdings.get(request)?.release();
		},
		isAccepted: connections.isAccepted,
		endAfter,
		isLast: connections.isLast,
		respondEarly(request, response, early) {
			respondEarly(request, response, early, connections);
		},
		close() {
			clearInterval(timer);
		},
	};
};
