import type {ListedInstance} from '@bergamotgauge/model';
import express from 'express';
import {listen} from './http.js';
import type {StandIn} from './types.js';

export type InstanceListStandIn = StandIn &
	Readonly<{
		set: (instance: ListedInstance) => void;
		remove: (id: string) => void;
	}>;

/**
Starts a stand-in for the platform's instance list. Each change becomes visible after `lagMs`.

@example
```ts
const list = await startInstanceList({lagMs: 500});
list.set({id: 'q1', role: 'instance', address: '127.0.0.1:7100', availabilityZone: 'a', state: 'live', labels: {}});
```
*/
export const startInstanceList = async ({
	port = 0,
	lagMs = 0,
}: Readonly<{port?: number; lagMs?: number}> = {}): Promise<InstanceListStandIn> => {
	const instances = new Map<string, ListedInstance>();
	const app = express();

	const applyAfterLag = (change: () => void) => {
		if (lagMs === 0) {
			change();
			return;
		}

		setTimeout(change, lagMs).unref();
	};

	const set = (instance: ListedInstance) => {
		applyAfterLag(() => {
			instances.set(instance.id, instance);
		});
	};

	const remove = (id: string) => {
		applyAfterLag(() => {
			instances.delete(id);
		});
	};

	app.get('/v1/instances', (_request, response) => {
		response.json({instances: [...instances.values()]});
	});
	app.put('/v1/instances/:id', express.json(), (request, response) => {
		set(request.body as ListedInstance);
		response.json({});
	});
	app.delete('/v1/instances/:id', (request, response) => {
		remove(request.params.id);
		response.json({});
	});
	return {...(await listen(app, port)), set, remove};
};
