import {ServiceError} from '@bergamotgauge/model';
import {z} from 'zod';
import type {Settings} from './types.js';

const port = z.coerce.number().int().min(0).max(65_535);
const host = z.union([z.ipv4(), z.ipv6()]);
const url = z.url({protocol: /^https?$/v});

const settings = z.strictObject({
	id: z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'must be lower-case letters, digits or "-", at most 63'),
	availabilityZone: z.string().min(1).max(63),
	host,
	port,
	peerHost: host,
	peerPort: port,
	storeUrl: url,
	instanceListUrl: url,
	bootstrapTokenSha256: z.string().regex(/^[0-9a-f]{64}$/v, 'must be 64 hex digits'),
	drainSeconds: z.coerce.number().int().min(0).max(3600),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']),
});

const flagOf = (setting: string): string =>
	`--${setting.replaceAll(/[A-Z]/gv, (letter) => `-${letter.toLowerCase()}`)}`;

/**
Checks the settings of an instance.

@example
```ts
const settings = checkSettings({id: 'q1', port: '8080', …});
```

@throws {ServiceError} `bad-request`, naming each flag, its value and what is allowed.
*/
export const checkSettings = (input: Readonly<Record<string, unknown>>): Settings => {
	const result = settings.safeParse(input);
	if (result.success) {
		return result.data;
	}

	const faults = result.error.issues.map((issue) => {
		const name = String(issue.path[0]);
		return `${flagOf(name)} is ${JSON.stringify(input[name]) ?? 'not set'}: ${issue.message}`;
	});
	throw new ServiceError(faults.join('\n'), {code: 'bad-request', verdict: 'not-run'});
};
