import {ServiceError} from '@bergamotgauge/model';
import {z} from 'zod';
import type {Settings} from './types.js';

const integer = (minimum: number, maximum: number) => {
	const error = `allowed: a whole number from ${minimum} to ${maximum}`;
	return z
		.union([z.number(), z.string().regex(/^\d+$/v).transform(Number)], {error})
		.pipe(z.int({error}).min(minimum, {error}).max(maximum, {error}));
};

const port = integer(0, 65_535);
const host = z.union([z.ipv4(), z.ipv6()], {error: 'allowed: an IP address'});
const url = z.url({protocol: /^https?$/v, error: 'allowed: an http:// or https:// URL'});
const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

const settings = z.strictObject({
	id: z.string('allowed: a name').regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, {
		error: 'allowed: lower-case letters, digits and "-", at most 63',
	}),
	availabilityZone: z.string('allowed: a name of 1 to 63 characters').min(1).max(63),
	host,
	port,
	peerHost: host,
	peerPort: port,
	storeUrl: url,
	instanceListUrl: url,
	bootstrapTokenSha256: z
		.string('allowed: 64 lower-case hex digits')
		.regex(/^[0-9a-f]{64}$/v, {error: 'allowed: 64 lower-case hex digits'}),
	drainSeconds: integer(0, 3600),
	logLevel: z.enum(LOG_LEVELS, {error: `allowed: ${LOG_LEVELS.join(', ')}`}),
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
		// The plain token may have been given instead of its hash.
		const isSecret = name === 'bootstrapTokenSha256' && input[name] !== undefined;
		const value = isSecret ? 'not a hash (value not shown)' : (JSON.stringify(input[name]) ?? 'not set');
		return `${flagOf(name)} is ${value}; ${issue.message}`;
	});
	throw new ServiceError(faults.join('\n'), {code: 'bad-request', verdict: 'not-run'});
};
