import {Buffer} from 'node:buffer';
import {fileURLToPath} from 'node:url';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import type {AccessToken, Declarations, RackRecord} from '@bergamotgauge/model';
import {createOperatorClient, loadDirectory} from '@bergamotgauge/operator';
import {decodeValue} from '@bergamotgauge/store';
import {request} from 'undici';
import {startInstanceProcess, startStandIn} from '../processes.js';
import {newToken, sha256} from '../tokens.js';
import {pollUntil} from '../poll-until.js';

const EXAMPLE = fileURLToPath(new URL('../../../../examples/shared', import.meta.url));

/** Access tokens declared for the two partners of `examples/shared`. */
const ROLES = {
	quebecOperator: {role: 'operator', partner: 'quebec'},
	limaOperator: {role: 'operator', partner: 'lima'},
	producers: {role: 'caller', partner: 'quebec', customer: 'producers'},
	agents: {role: 'caller', partner: 'quebec', customer: 'agents'},
	universities: {role: 'caller', partner: 'lima', customer: 'universities'},
} as const;

export type TokenName = keyof typeof ROLES;

export type StoreContents = Readonly<{
	revision: number;
	entries: ReadonlyArray<Readonly<{key: string; revision: number; value: string}>>;
}>;

/** One instance with a store and an instance list, each in its own process. */
export type Service = Readonly<{
	url: string;
	storeUrl: string;
	listUrl: string;
	bootstrapToken: string;
	tokens: Readonly<Record<TokenName, string>>;
	/** Declarations of both partners, applied as generation 1. */
	declarations: Declarations;
	/** Reads all values of the store. */
	contents: () => Promise<StoreContents>;
}>;

/** Counts the reserved blocks in the stored rack records, where the field `homes` holds them. */
const countReservedBlocks = ({entries}: StoreContents): number =>
	entries
		.filter(({key}) => key.startsWith('racks/'))
		.map(({value}) => decodeValue(Buffer.from(value, 'base64')).data as RackRecord)
		.reduce((sum, {homes}) => sum + homes.length, 0);

const countGuaranteedBlocks = ({guarantees}: Declarations): number =>
	guarantees.reduce((sum, {count}) => sum + count, 0);

const loadDeclarations = async (tokens: Service['tokens']): Promise<Declarations> => {
	const result = await loadDirectory(EXAMPLE);
	if (!result.ok) {
		throw new Error(JSON.stringify(result.faults));
	}

	const accessTokens = Object.entries(ROLES).map(([name, role]): AccessToken => ({
		name: name.toLowerCase(),
		sha256: sha256(tokens[name as TokenName]),
		...role,
	}));
	return {...result.declarations, tokens: accessTokens};
};

/**
Starts an instance, applies `examples/shared` for both partners and waits until the guarantees have their reserved blocks.

@example
```ts
const service = await startService(lifecycle);
```
*/
export const startService = async (lifecycle: Lifecycle): Promise<Service> => {
	const [store, list] = await Promise.all([
		startStandIn(lifecycle, ['store']),
		startStandIn(lifecycle, ['instance-list']),
	]);
	const storeUrl = `http://${store.address}`;
	const listUrl = `http://${list.address}`;
	const bootstrapToken = newToken();
	const settings = {
		'availability-zone': 'a',
		port: '0',
		'peer-port': '0',
		'store-url': storeUrl,
		'instance-list-url': listUrl,
		'bootstrap-token-sha256': sha256(bootstrapToken),
	};
	const flags = Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value]);
	const {address} = await startInstanceProcess(lifecycle, 'q1', flags);
	const url = `http://${address}`;
	const tokens = Object.fromEntries(Object.keys(ROLES).map((name) => [name, newToken()])) as Service['tokens'];
	const declarations = await loadDeclarations(tokens);
	await createOperatorClient({url, token: bootstrapToken}).apply(0, declarations);
	const contents = async (): Promise<StoreContents> => {
		const response = await request(`${storeUrl}/v1/values?prefix=`);
		return (await response.body.json()) as StoreContents;
	};

	// The planner stores the reserved blocks of the guarantees shortly after the configuration is applied.
	await waitUntil(
		'reserved blocks of the guarantees',
		async () => countReservedBlocks(await contents()) === countGuaranteedBlocks(declarations),
	);
	return {
		url,
		storeUrl,
		listUrl,
		bootstrapToken,
		tokens,
		declarations,
		contents,
	};
};

/** Polls a probe until it returns true. */
export const waitUntil = async (description: string, probe: () => Promise<boolean>): Promise<void> => {
	await pollUntil(description, async () => ((await probe()) ? true : undefined));
};
