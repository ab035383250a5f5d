import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {sleep} from '@bergamotgauge/lifecycle';
import type {ServiceError, Verdict} from '@bergamotgauge/model';
import {startWorker} from '@bergamotgauge/standins';
import {createWorkerClient, WORKER_DEADLINE_MS} from '@bergamotgauge/worker';
import t from 'tap';

const TASK = {
	job: 'job',
	attempt: 1,
	token: 1,
	block: {worker: 'w1', first: 0, count: 1},
	cores: 1,
	memoryGigabytes: 1,
	isLead: true,
	payload: {runMs: 60_000},
};

const errorOf = async (call: Promise<unknown>): Promise<ServiceError | undefined> => {
	try {
		await call;
		return undefined;
	} catch (error) {
		return error as ServiceError;
	}
};

const verdictOf = async (call: Promise<unknown>): Promise<Verdict> => {
	const error = await errorOf(call);
	return error?.verdict ?? 'ran';
};

// Guards against a `not-run` for a call that may have run, with which a caller would give up or repeat the wrong work, and against a refusal for now that looks like a lasting one.
await t.test('only refusals of the worker itself prove that a call has not run', async (t) => {
	for (const [status, verdict] of [
		[400, 'not-run'],
		[404, 'not-run'],
		[409, 'not-run'],
		[429, 'not-run'],
		[500, 'may-have-run'],
		[502, 'may-have-run'],
		[503, 'not-run'],
		[504, 'may-have-run'],
	] as const) {
		const server = createServer((_request, response) => {
			response.writeHead(status, {'content-type': 'application/json', connection: 'close'}).end('{"error":"refused"}');
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const client = createWorkerClient(`http://127.0.0.1:${port}`);
		t.match(await errorOf(client.start(TASK)), {verdict, status}, `status ${status}`);
		server.close();
	}
});

// Guards against a stand-in that cannot show the faults of issue 25: a call whose response is lost, one that is carried out late, and a refusal.
await t.test('the stand-in loses responses, carries calls out late and refuses', async (t) => {
	const worker = await startWorker({name: 'w1'});
	t.teardown(worker.close);
	const client = createWorkerClient(`http://${worker.address}`);
	const stateOf = () => worker.tasks.get('job.1')?.state;

	worker.faults.loseResponses = true;
	t.equal(await verdictOf(client.prepare(TASK)), 'may-have-run');
	t.equal(stateOf(), 'prepared', 'the call was carried out');
	worker.faults.loseResponses = false;

	worker.faults.lateMs = 50;
	t.equal(await verdictOf(client.start(TASK)), 'may-have-run');
	t.equal(stateOf(), 'prepared', 'not yet');
	worker.faults.lateMs = 0;

	worker.faults.refuseStatus = 503;
	t.equal(await verdictOf(client.stop(TASK)), 'not-run');
	worker.faults.refuseStatus = 0;
	await sleep(200);
	t.equal(stateOf(), 'running', 'the start was carried out after it was given up');
	await client.stop(TASK);
	t.equal(stateOf(), undefined);
});

// Guards against a call that is sent after it was given up, when it waited for a free connection until its deadline.
await t.test('a call that is given up while it waits for a connection is never sent', async (t) => {
	const received: string[] = [];
	const server = createServer((request, response) => {
		received.push(request.url ?? '');
		setTimeout(() => {
			response.end('{"sequence":1}');
		}, WORKER_DEADLINE_MS + 500);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const client = createWorkerClient(`http://127.0.0.1:${port}`);
	// Reports have a later deadline, so they hold every connection until after the deadline of the other calls.
	const {signal} = new AbortController();
	const reports = Array.from({length: 4}, async () => client.report(0, 1000, signal));
	const calls = Array.from({length: 8}, async (_, attempt) => verdictOf(client.prepare({...TASK, attempt})));
	const verdicts = await Promise.all(calls);
	t.ok(verdicts.every((verdict) => verdict === 'may-have-run'));
	await Promise.all(reports);
	await sleep(500);
	t.same([...new Set(received)], ['/v1/report?after=0&waitMs=1000'], 'the calls were not sent');
});
