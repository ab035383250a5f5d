import {type Buffer} from 'node:buffer';
import {sleep} from '@bergamotgauge/lifecycle';
import {STORE_VALUE_LIMIT_BYTES} from '@bergamotgauge/model';
import express, {type Response} from 'express';
import {WATCH_HISTORY_LENGTH} from './constants.js';
import {listen} from './http.js';
import type {StandIn} from './types.js';

type StoredValue = Readonly<{key: string; revision: number; value: string | undefined}>;

/** Injectable faults. */
export type StoreFaults = {
	/** Every call fails with 503. */
	outage: boolean;
	/** Writes are applied, but the connection closes before the response. */
	loseAnswers: boolean;
	/** Writes are dropped before they are applied, and the connection closes. */
	loseRequests: boolean;
	/** Calls get no response and their connections stay open. */
	silent: boolean;
	/** Delay before each call is processed. */
	latencyMs: number;
};

export type StoreStandIn = StandIn &
	Readonly<{
		faults: StoreFaults;
		/** Number of calls so far by kind; a watch counts as one call. */
		calls: Readonly<Record<string, number>>;
	}>;

const queryText = (value: unknown): string => (typeof value === 'string' ? value : '');

const createState = () => {
	const values = new Map<string, StoredValue>();
	const history: StoredValue[] = [];
	const waiters = new Set<() => void>();
	let revision = 0;

	return {
		values,
		waiters,
		revision: () => revision,
		/** Oldest revision from which a watch can resume; earlier changes are compacted. */
		oldestRevision: () => (history.length < WATCH_HISTORY_LENGTH ? 0 : (history[0]?.revision ?? 0)),
		changesAfter: (after: number, prefixes: readonly string[]) =>
			history.filter((change) => change.revision > after && prefixes.some((prefix) => change.key.startsWith(prefix))),
		write(key: string, value: string | undefined): StoredValue {
			revision += 1;
			const stored = {key, revision, value};
			if (value === undefined) {
				values.delete(key);
			} else {
				values.set(key, stored);
			}

			history.push(stored);
			if (history.length > WATCH_HISTORY_LENGTH) {
				history.shift();
			}

			for (const wake of waiters) {
				wake();
			}

			return stored;
		},
	};
};

/**
Starts a stand-in for the platform's key-value store.

@example
```ts
const store = await startStore();
store.faults.outage = true;
```
*/
export const startStore = async (port = 0): Promise<StoreStandIn> => {
	const state = createState();
	const faults: StoreFaults = {outage: false, loseAnswers: false, loseRequests: false, silent: false, latencyMs: 0};
	const calls: Record<string, number> = {};
	const app = express();

	app.use('/v1', async (request, response, next) => {
		if (faults.latencyMs > 0) {
			await sleep(faults.latencyMs);
		}

		if (faults.silent) {
			return;
		}

		if (faults.loseRequests && request.method !== 'GET') {
			response.destroy();
			return;
		}

		if (faults.outage) {
			response.status(503).json({error: 'outage'});
			return;
		}

		next();
	});

	const countCall = (kind: string) => {
		calls[kind] = (calls[kind] ?? 0) + 1;
	};

	const respondToWrite = (response: Response, stored: StoredValue) => {
		if (faults.loseAnswers) {
			response.destroy();
			return;
		}

		response.json({revision: stored.revision});
	};

	const isExpected = (key: string, expected: unknown): boolean =>
		(state.values.get(key)?.revision ?? 0) === Number(expected);

	const respondWithConflict = (response: Response, key: string) => {
		response.status(409).json(state.values.get(key) ?? {key, revision: 0});
	};

	app.get('/v1/values', (request, response) => {
		countCall('list');
		const prefix = queryText(request.query.prefix);
		const entries = [...state.values.values()].filter(({key}) => key.startsWith(prefix));
		response.json({revision: state.revision(), entries});
	});
	app.get('/v1/values/:key', (request, response) => {
		countCall('get');
		const stored = state.values.get(request.params.key);
		response.status(stored ? 200 : 404).json(stored ?? {});
	});
	app.put('/v1/values/:key', express.raw({limit: '2mb', type: () => true}), (request, response) => {
		countCall('put');
		const {key} = request.params;
		const body = request.body as Buffer;
		if (body.length > STORE_VALUE_LIMIT_BYTES) {
			response.status(413).json({error: 'value too large'});
			return;
		}

		if (!isExpected(key, request.query.expectedRevision)) {
			respondWithConflict(response, key);
			return;
		}

		respondToWrite(response, state.write(key, body.toString('base64')));
	});
	app.delete('/v1/values/:key', (request, response) => {
		countCall('remove');
		const {key} = request.params;
		if (!isExpected(key, request.query.expectedRevision)) {
			respondWithConflict(response, key);
			return;
		}

		respondToWrite(response, state.write(key, undefined));
	});
	app.get('/v1/watch', async (request, response) => {
		countCall('watch');
		const prefixes = queryText(request.query.prefixes).split(',');
		const after = Number(request.query.after);
		const controller = new AbortController();
		const wake = () => {
			if (state.changesAfter(after, prefixes).length > 0) {
				controller.abort();
			}
		};

		state.waiters.add(wake);
		response.on('close', wake);
		wake();
		await sleep(Number(request.query.waitMs), controller.signal);
		state.waiters.delete(wake);
		if (faults.silent) {
			return;
		}

		response.json({
			revision: state.revision(),
			entries: state.changesAfter(after, prefixes),
			compacted: after < state.oldestRevision(),
		});
	});
	app.get('/calls', (_request, response) => {
		response.json(calls);
	});
	app.put('/faults', express.json(), (request, response) => {
		Object.assign(faults, request.body);
		response.json(faults);
	});
	return {...(await listen(app, port)), faults, calls};
};
