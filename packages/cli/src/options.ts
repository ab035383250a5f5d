import process from 'node:process';
import {ServiceError} from '@bergamotgauge/model';
import {InvalidArgumentError, Option, type Command} from 'commander';
import {ENVIRONMENT_PREFIX, MAX_WAIT_SECONDS} from './constants.js';

const usageError = (message: string): ServiceError =>
	new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});

/** Returns the name of the environment variable for a flag. */
export const environmentVariableOf = (flag: string): string =>
	`${ENVIRONMENT_PREFIX}${flag.replace(/^--/v, '').replaceAll('-', '_').toUpperCase()}`;

/**
Creates an option whose value may also come from its environment variable. `check` throws `InvalidArgumentError` for a value that is not allowed.

@example
```ts
environmentOption('--store-url <url>', 'base URL of the store'); // also BERGAMOTGAUGE_STORE_URL
```
*/
export const environmentOption = (
	flags: string,
	description: string,
	check?: (text: string) => string | number,
): Option => {
	const option = new Option(flags, description);
	option.env(environmentVariableOf(option.name()));
	return check ? option.argParser(check) : option;
};

/**
Creates a flag without a value. Its environment variable must be `true` or `false`.

@throws {ServiceError} `bad-request` when the variable has another value.
*/
export const environmentFlag = (flag: string, description: string): Option => {
	const variable = environmentVariableOf(flag);
	const value = process.env[variable];
	if (value !== undefined && value !== 'true' && value !== 'false') {
		throw usageError(`${variable} is "${value}"; allowed: true or false`);
	}

	// Commander treats a set variable as true, whatever its value, so the variable is read here.
	return new Option(flag, `${description} (env: ${variable})`).default(value === 'true' ? true : undefined);
};

/** Validates the base URL of an instance and removes trailing slashes. */
export const checkUrl = (text: string): string => {
	const url = URL.canParse(text) ? new URL(text) : undefined;
	if (url?.protocol !== 'http:' && url?.protocol !== 'https:') {
		throw new InvalidArgumentError('Allowed: an http:// or https:// URL.');
	}

	return text.replace(/\/+$/v, '');
};

/** Creates a parser for a whole number in a range. */
export const checkInteger =
	(minimum: number, maximum: number) =>
	(text: string): number => {
		const value = /^\d+$/v.test(text) ? Number(text) : Number.NaN;
		if (!(value >= minimum && value <= maximum)) {
			throw new InvalidArgumentError(`Allowed: a whole number from ${minimum} to ${maximum}.`);
		}

		return value;
	};

/** Creates the options of a command that may wait until its change has taken effect. */
export const waitOptions = (description: string): readonly Option[] => [
	environmentFlag('--wait', description),
	environmentOption('--wait-seconds <seconds>', 'time limit for --wait', checkInteger(1, MAX_WAIT_SECONDS)).default(15),
];

/** Creates the option for machine-readable output. */
export const jsonOption = (): Option => environmentFlag('--json', 'print JSON');

/** Creates the options of commands that talk to an instance. */
export const connectionOptions = (): readonly Option[] => [
	environmentOption('--url <url>', 'base URL of an instance', checkUrl).default('http://127.0.0.1:8080'),
	environmentOption('--token <token>', 'access token; prefer the variable, because others can read a command line'),
	jsonOption(),
];

/**
Validates the token. The error message does not contain it.

@throws {ServiceError} `bad-request`.
*/
export const requireToken = (token: string | undefined): string => {
	if (token === undefined) {
		throw usageError(`--token is not set; set ${environmentVariableOf('token')} or --token`);
	}

	if (!/^[\w\-.~+\/]{16,512}=*$/v.test(token)) {
		throw usageError('--token is not an access token; allowed: 16 to 512 letters, digits and "-._~+/"');
	}

	return token;
};

export const withOptions = (command: Command, options: readonly Option[]): Command => {
	for (const option of options) {
		command.addOption(option);
	}

	return command;
};
