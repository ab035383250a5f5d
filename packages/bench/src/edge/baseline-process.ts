import {Buffer} from 'node:buffer';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import express from 'express';
import {Pool} from 'undici';
import {CONNECTIONS} from './constants.js';

/** Minimal reverse proxy as a baseline: express reads the body and undici forwards it round-robin to the endpoints. */
const pools = process.argv.slice(2).map((address) => new Pool(`http://${address}`, {connections: CONNECTIONS}));
// Exit with the parent process, so that a failed bench leaves no orphan.
process.once('disconnect', () => {
	process.exit();
});
let poolIndex = 0;
const app = express();
app.use(express.raw({type: () => true}), async (request, response) => {
	poolIndex = (poolIndex + 1) % pools.length;
	const endpointResponse = await pools[poolIndex]!.request({
		method: 'POST',
		path: request.originalUrl,
		headers: {'request-id': 'baseline', 'content-type': 'text/plain'},
		body: Buffer.isBuffer(request.body) ? request.body : null,
	});
	const body = await endpointResponse.body.arrayBuffer();
	response.status(endpointResponse.statusCode).end(Buffer.from(body));
});
const server = app.listen(0, '127.0.0.1', () => {
	const {port} = server.address() as AddressInfo;
	process.send!({ready: {address: `127.0.0.1:${port}`}});
});
