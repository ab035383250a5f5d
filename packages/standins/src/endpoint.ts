import {Buffer} from 'node:buffer';
import {sleep} from '@bergamotgauge/lifecycle';
import express from 'express';
import {listen} from './http.js';
import type {StandIn} from './types.js';

export type EndpointFaults = {
	/** Responds with 503, the verdict `not-run` and the state `draining`. */
	draining: boolean;
	/** Run time of each request. */
	runMs: number;
};

export type EndpointStandIn = StandIn &
	Readonly<{
		id: string;
		/** Number of executions by request body. */
		runs: ReadonlyMap<string, number>;
		/** Highest number of concurrent requests so far. */
		peak: () => number;
		faults: EndpointFaults;
	}>;

/**
Starts a stand-in for one endpoint. It echoes the body of each request.

@example
```ts
const endpoint = await startEndpoint({id: 'e1', slots: 8});
```
*/
export const startEndpoint = async ({
	id,
	slots,
	port = 0,
}: Readonly<{id: string; slots: number; port?: number}>): Promise<EndpointStandIn> => {
	const runs = new Map<string, number>();
	const faults: EndpointFaults = {draining: false, runMs: 5};
	const app = express();
	let running = 0;
	let peak = 0;

	app.use(express.raw({limit: '2mb', type: () => true}), async (request, response) => {
		const requestId = request.get('request-id') ?? '';
		response.set('request-id', requestId);
		if (faults.draining || running >= slots) {
			response.set('request-verdict', 'not-run').set('endpoint-state', faults.draining ? 'draining' : 'full');
			response.status(503).json({error: 'refused'});
			return;
		}

		running += 1;
		peak = Math.max(peak, running);
		const body = Buffer.isBuffer(request.body) ? request.body.toString() : '';
		runs.set(body, (runs.get(body) ?? 0) + 1);
		await sleep(faults.runMs);
		running -= 1;
		response.json({endpoint: id, path: request.originalUrl, echo: body});
	});
	return {...(await listen(app, port)), id, runs, peak: () => peak, faults};
};
