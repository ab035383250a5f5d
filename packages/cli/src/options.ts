import {Option} from 'commander';
import {ENVIRONMENT_PREFIX} from './constants.js';

/**
An option whose value may also come from its environment variable.

@example
```ts
environmentOption('--store-url <url>', 'base URL of the store'); // also BERGAMOTGAUGE_STORE_URL
```
*/
export const environmentOption = (flags: string, description: string): Option => {
	const option = new Option(flags, description);
	return option.env(`${ENVIRONMENT_PREFIX}${option.name().replaceAll('-', '_').toUpperCase()}`);
};

/** Options of commands that talk to an instance. */
export const connectionOptions = (): readonly Option[] => [
	environmentOption('--url <url>', 'base URL of an instance').default('http://127.0.0.1:8080'),
	environmentOption('--token <token>', 'access token; prefer the environment variable').makeOptionMandatory(),
	new Option('--json', 'print JSON'),
];
