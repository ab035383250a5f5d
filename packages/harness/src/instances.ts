import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {registerListedInstance} from './platform.js';
import {startInstanceProcess} from './processes.js';
import {sha256} from './tokens.js';
import type {Platform, StartedInstance} from './types.js';

export type InstanceOptions = Readonly<{
	id: string;
	availabilityZone: string;
	platform: Platform;
	/** Bootstrap token, valid until the first bundle is applied. */
	operatorToken: string;
	extraArguments?: readonly string[];
}>;

/**
Starts an instance as a process and registers it in the instance list.

@example
```ts
const instance = await startListedInstance(lifecycle, {id: 'q1', availabilityZone: 'a', platform, operatorToken});
```
*/
export const startListedInstance = async (lifecycle: Lifecycle, options: InstanceOptions): Promise<StartedInstance> => {
	const {id, availabilityZone, platform, operatorToken, extraArguments = []} = options;
	const instance = await startInstanceProcess(lifecycle, id, [
		'--availability-zone',
		availabilityZone,
		'--port',
		'0',
		'--peer-port',
		'0',
		'--store-url',
		platform.storeUrl,
		'--instance-list-url',
		platform.listUrl,
		'--bootstrap-token-sha256',
		sha256(operatorToken),
		...extraArguments,
	]);
	await registerListedInstance(platform.listUrl, {
		id,
		role: 'instance',
		address: instance.peerAddress,
		availabilityZone,
		state: 'live',
		labels: {},
	});
	return instance;
};
