import {createHash, randomBytes} from 'node:crypto';
import process from 'node:process';
import {text as readAll} from 'node:stream/consumers';
import {Command} from 'commander';
import {TOKEN_BYTES} from './constants.js';
import {environmentFlag, jsonOption, requireToken, withOptions} from './options.js';
import {printJson, printLine} from './output.js';

type HashTokenOptions = Readonly<{stdin?: boolean; json?: boolean}>;

/** `hash-token`: generates an access token, or reads one, and prints its hash, so that declarations contain only the hash. */
export const hashTokenCommand = (): Command =>
	withOptions(
		new Command('hash-token').description('Generate an access token and print it once, with the hash to declare'),
		[environmentFlag('--stdin', 'hash the token on standard input, and print the hash only'), jsonOption()],
	)
		.addHelpText(
			'after',
			'\nExamples:\n  bergamotgauge hash-token\n  printf %s "$TOKEN" | bergamotgauge hash-token --stdin',
		)
		.action(async ({stdin, json}: HashTokenOptions) => {
			const input = stdin ? await readAll(process.stdin) : undefined;
			const suppliedToken = input === undefined ? undefined : requireToken(input.trim());
			const token = suppliedToken ?? randomBytes(TOKEN_BYTES).toString('base64url');
			const sha256 = createHash('sha256').update(token).digest('hex');
			if (json) {
				printJson({...(suppliedToken === undefined && {token}), sha256});
				return;
			}

			if (suppliedToken === undefined) {
				printLine(`token: ${token}`);
			}

			printLine(`sha256: ${sha256}`);
		});
