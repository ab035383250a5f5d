import {type Buffer} from 'node:buffer';
import {sleep} from '@bergamotgauge/lifecycle';
import {STORE_VALUE_LIMIT_BYTES} from '@bergamotgauge/model';
import express, {type Response} from 'express';
import {WATCH_HISTORY_LENGTH} from './constants.js';
import {listen} from './http.js';
import type {StandIn} from './types.js';

type Stored = Readonly<{key: string; revision: number; value: string | undefined}>;

/** Faults that tests and demos switch on. */
export type StoreFaults = {
	/** Every call fails. */
	outage: boolean;
	/** Writes take effect but their answers are lost. */
	loseAnswers: boolean;
	/** Writes are dropped before they take effect, and the connection closes. */
	loseRequests: boolean;
	/** Calls get no answer and their connections stay open. */
	silent: boolean;
	latencyMs: number;
};

export type StoreStandIn = StandIn &
	Readonly<{
		faults: StoreFaults;
		/** Calls so far by kind; a watch counts as one. */
		calls: Readonly<Record<string, number>>;
	}>;

const queryText = (value: unknown): string => (typeof value === 'string' ? value : '');

const createState = () => {
	const values = new Map<string, Stored>();
	const history: Stored[] = [];
	const waiting = new Set<() => void>();
	let revision = 0;

	return {
		values,
		waiting,
		revision: () => revision,
		/** Oldest revision after which the history is complete. */
		oldest: () => (history.length < WATCH_HISTORY_LENGTH ? 0 : (history[0]?.revision ?? 0)),
		changesAfter: (after: number, prefixes: readonly string[]) =>
			history.filter((change) => change.revision > after && prefixes.some((prefix) => change.key.startsWith(prefix))),
		write(key: string, value: string | undefined): Stored {
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

			for (const wake of waiting) {
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

	const count = (kind: string) => {
		calls[kind] = (calls[kind] ?? 0) + 1;
	};

	const answerWrite = (response: Response, stored: Stored) => {
		if (faults.loseAnswers) {
			response.destroy();
			return;
		}

		response.json({revision: stored.revision});
	};

	const isExpected = (key: string, expected: unknown): boolean =>
		(state.values.get(key)?.revision ?? 0) === Number(expected);

	const answerConflict = (response: Response, key: string) => {
		response.status(409).json(state.values.get(key) ?? {key, revision: 0});
	};

	app.get('/v1/values', (request, response) => {
		count('list');
		const prefix = queryText(request.query.prefix);
		const entries = [...state.values.values()].filter(({key}) => key.startsWith(prefix));
		response.json({revision: state.revision(), entries});
	});
	app.get('/v1/values/:key', (request, response) => {
		count('get');
		const stored = state.values.get(request.params.key);
		response.status(stored ? 200 : 404).json(stored ?? {});
	});
	app.put('/v1/values/:key', express.raw({limit: '2mb', type: () => true}), (request, response) => {
		count('put');
		const {key} = request.params;
		const body = request.body as Buffer;
		if (body.length > STORE_VALUE_LIMIT_BYTES) {
			response.status(413).json({error: 'value too large'});
			return;
		}

		if (!isExpected(key, request.query.expectedRevision)) {
			answerConflict(response, key);
			return;
		}

		answerWrite(response, state.write(key, body.toString('base64')));
	});
	app.delete('/v1/values/:key', (request, response) => {
		count('remove');
		const {key} = request.params;
		if (!isExpected(key, request.query.expectedRevision)) {
			answerConflict(response, key);
			return;
		}

		answerWrite(response, state.write(key, undefined));
	});
	app.get('/v1/watch', async (request, response) => {
		count('watch');
		const prefixes = queryText(request.query.prefixes).split(',');
		const after = Number(request.query.after);
		const controller = new AbortController();
		const wake = () => {
			if (state.changesAfter(after, prefixes).length > 0) {
				controller.abort();
			}
		};

		state.waiting.add(wake);
		response.on('close', wake);
		wake();
		await sleep(Number(request.query.waitMs), controller.signal);
		state.waiting.delete(wake);
		if (faults.silent) {
			return;
		}

		response.json({
			revision: state.revision(),
			entries: state.changesAfter(after, prefixes),
			compacted: after < state.oldest(),
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
