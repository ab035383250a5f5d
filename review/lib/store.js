// Stand-in for the platform's metadata store, as PROTOCOL.md describes it.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const MAX_ENTRIES = 32;
const MAX_KEY_BYTES = 200;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const READ_ONLY_PREFIXES = ['op/', 'servers/'];

export const readBody = async (request) => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text);
};

export const sendJson = (response, status, body, headers = {}) => {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json', ...headers});
		response.end(body === undefined ? undefined : JSON.stringify(body));
	}
};

/** Starts the store on a free loopback port. `put` and `remove` are the writes of the operator and of the runners. */
export const startStore = async ({valueBytes, ttlMinMs, writesPerS, readsPerS}) => {
	const items = new Map();
	const events = [];
	const leases = new Map();
	const watchers = new Set();
	let revision = 100;
	let leaseCount = 77_000;
	const rate = {second: 0, writes: 0, reads: 0, refused: 0};
	const stats = {tooLarge: 0, transactions: 0};

	const notify = () => {
		for (const watcher of watchers) {
			watcher();
		}
	};

	const setItem = (key, value, lease) => {
		const item = {key, value, rev: revision, createRevision: items.get(key)?.createRevision ?? revision, lease};
		items.set(key, item);
		events.push(item);
	};

	const deleteItem = (key) => {
		if (items.delete(key)) {
			events.push({key, rev: revision, tombstone: true});
		}
	};

	const put = (key, value) => {
		revision += 1;
		setItem(key, Buffer.from(value).toString('base64'), 0);
		notify();
	};

	const remove = (key) => {
		revision += 1;
		deleteItem(key);
		notify();
	};

	const endLease = (lease) => {
		leases.delete(lease);
		const keys = [...items.values()].filter((item) => item.lease === lease).map(({key}) => key);
		if (keys.length > 0) {
			revision += 1;
			for (const key of keys) {
				deleteItem(key);
			}

			notify();
		}
	};

	const expire = setInterval(() => {
		for (const [lease, {endMs}] of leases) {
			if (performance.now() > endMs) {
				endLease(lease);
			}
		}
	}, 20);

	/** Counts a call against the limit of its kind; returns whether it is within it. */
	const mayCall = (kind, limit) => {
		const second = Math.floor(performance.now() / 1000);
		if (second !== rate.second) {
			Object.assign(rate, {second, writes: 0, reads: 0});
		}

		rate[kind] += 1;
		if (rate[kind] > limit) {
			rate.refused += 1;
			return false;
		}

		return true;
	};

	const listPage = (query) => {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		const page = [];
		let bytes = 0;
		for (const item of found) {
			if (page.length === PAGE_ITEMS || (page.length > 0 && bytes + item.value.length > PAGE_BYTES)) {
				break;
			}

			page.push(item);
			bytes += item.value.length;
		}

		return {items: page, truncated: page.length < found.length, asOf: revision};
	};

	const watch = async (query, response) => {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const find = () => events.filter((event) => event.rev > after && event.key.startsWith(prefix));
		await new Promise((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				watchers.delete(check);
				resolve();
			};

			const check = () => {
				if (find().length > 0) {
					finish();
				}
			};

			const timer = setTimeout(finish, Math.min(30_000, Number(query.get('waitMs'))));
			watchers.add(check);
			response.once('close', finish);
			check();
		});
		sendJson(response, 200, {events: find(), asOf: revision});
	};

	const transact = ({expected = [], writes = [], remove: removals = []}) => {
		stats.transactions += 1;
		if (expected.length + writes.length + removals.length > MAX_ENTRIES) {
			return [400, {}];
		}

		const changed = [...writes.map(({key}) => key), ...removals];
		if (changed.some((key) => READ_ONLY_PREFIXES.some((prefix) => key.startsWith(prefix)))) {
			return [403, {}];
		}

		const isValid = writes.every(
			({key, value}) =>
				Buffer.byteLength(key) <= MAX_KEY_BYTES && Buffer.from(value, 'base64').byteLength <= valueBytes,
		);
		if (!isValid) {
			stats.tooLarge += 1;
			return [400, {}];
		}

		if (writes.some(({lease}) => lease && !leases.has(lease))) {
			return [404, {}];
		}

		if (expected.some(({key, rev}) => (items.get(key)?.rev ?? 0) !== rev)) {
			return [412, {items: expected.map(({key}) => items.get(key) ?? {key, rev: 0})}];
		}

		revision += 1;
		for (const {key, value, lease = 0} of writes) {
			setItem(key, value, lease);
		}

		for (const key of removals) {
			deleteItem(key);
		}

		notify();
		return [200, {rev: revision}];
	};

	const handleLease = async (request, path) => {
		if (path === '/kv-lease') {
			const {ttlMs} = await readBody(request);
			const appliedMs = Math.min(600_000, Math.max(ttlMinMs, ttlMs));
			leaseCount += 1;
			leases.set(leaseCount, {ttlMs: appliedMs, endMs: performance.now() + appliedMs});
			return [200, {lease: leaseCount, ttlMs: appliedMs}];
		}

		const id = Number(path.split('/').at(-1));
		const lease = leases.get(id);
		if (!lease) {
			return [404, {}];
		}

		if (path.startsWith('/kv-keep/')) {
			lease.endMs = performance.now() + lease.ttlMs;
			return [200, {ttlMs: lease.ttlMs}];
		}

		endLease(id);
		return [200, {}];
	};

	const handle = async (request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		if (request.method === 'GET' && !mayCall('reads', readsPerS)) {
			sendJson(response, 429, {});
			return;
		}

		switch (pathname) {
			case '/kv-key': {
				const item = items.get(searchParams.get('key'));
				sendJson(response, item ? 200 : 404, {...item, asOf: revision});
				break;
			}

			case '/kv-range': {
				sendJson(response, 200, listPage(searchParams));
				break;
			}

			case '/kv-watch': {
				await watch(searchParams, response);
				break;
			}

			case '/kv-txn': {
				const body = await readBody(request);
				sendJson(response, ...(mayCall('writes', writesPerS) ? transact(body) : [429, {}]));
				break;
			}

			default: {
				sendJson(response, ...(await handleLease(request, pathname)));
			}
		}
	};

	const server = createServer(async (request, response) => {
		try {
			await handle(request, response);
		} catch {
			// The caller has gone.
			request.socket.destroy();
		}
	});
	await new Promise((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${server.address().port}`,
		stats,
		rate,
		put,
		remove,
		get: (key) => items.get(key),
		close() {
			clearInterval(expire);
			server.closeAllConnections();
			server.close();
		},
	};
};
