import process from 'node:process';
import {sleep} from '@bergamotgauge/lifecycle';
import type {Declarations} from '@bergamotgauge/model';
import {
	createOperatorClient,
	diffDeclarations,
	EMPTY_DECLARATIONS,
	loadDirectory,
	type DeclarationChange,
	type OperatorClient,
} from '@bergamotgauge/operator';
import {Command} from 'commander';
import {EXIT_CODES, IN_FORCE_POLL_MS} from './constants.js';
import {connectionOptions} from './options.js';
import {printError, printJson, printLine} from './output.js';
import type {ConnectionOptions} from './types.js';

const load = async (directory: string): Promise<Declarations | undefined> => {
	const result = await loadDirectory(directory);
	if (result.ok) {
		return result.declarations;
	}

	for (const {file, line, message} of result.faults) {
		printError(`${file}:${line}: ${message}`);
	}

	process.exitCode = EXIT_CODES.usage;
	return undefined;
};

const printChanges = (changes: readonly DeclarationChange[]): void => {
	const signs = {added: '+', changed: '~', removed: '-'} as const;
	for (const {kind, collection, name} of changes) {
		printLine(`${signs[kind]} ${collection}/${name}`);
	}
};

/** `validate`: checks declarations without an instance. */
export const validateCommand = (): Command =>
	new Command('validate')
		.description('Check declarations; names file, line and value of each fault')
		.argument('<directory>', 'directory of .yaml files, or one file')
		.addHelpText('after', '\nExample:\n  bergamotgauge validate examples/quebec')
		.action(async (directory: string) => {
			const declarations = await load(directory);
			if (declarations) {
				const counts = Object.entries(declarations).map(([collection, items]) => `${items.length} ${collection}`);
				printLine(`valid: ${counts.join(', ')}`);
			}
		});

/** `diff`: compares declarations with the configuration in force. */
export const diffCommand = (): Command => {
	const command = new Command('diff')
		.description('Show what an apply would change')
		.argument('<directory>', 'directory of .yaml files, or one file')
		.addHelpText('after', '\nExample:\n  bergamotgauge diff examples/quebec');
	for (const option of connectionOptions()) {
		command.addOption(option);
	}

	return command.action(async (directory: string, options: ConnectionOptions) => {
		const declarations = await load(directory);
		if (!declarations) {
			return;
		}

		const {bundle} = await createOperatorClient(options).bundle();
		const changes = diffDeclarations(bundle ?? EMPTY_DECLARATIONS, declarations);
		if (options.json) {
			printJson({generation: bundle?.generation ?? 0, changes});
		} else {
			printChanges(changes);
			printLine(`${changes.length} changes to generation ${bundle?.generation ?? 0}`);
		}
	});
};

const waitUntilInForce = async (client: OperatorClient, generation: number, seconds: number): Promise<string[]> => {
	const deadlineMs = Date.now() + seconds * 1000;
	for (;;) {
		const {instances} = await client.status();
		const behind = instances
			.filter((instance) => instance.health !== 'dead' && instance.generation < generation)
			.map(({id}) => id);
		if (behind.length === 0 || Date.now() > deadlineMs) {
			return behind;
		}

		await sleep(IN_FORCE_POLL_MS);
	}
};

type ApplyOptions = ConnectionOptions & Readonly<{basedOn?: string; wait?: boolean; waitSeconds: string}>;

/** `apply`: makes declarations the next generation. */
export const applyCommand = (): Command => {
	const command = new Command('apply')
		.description('Make declarations the configuration in force')
		.argument('<directory>', 'directory of .yaml files, or one file')
		.option('--based-on <generation>', 'generation that the change starts from; default: the one in force now')
		.option('--wait', 'wait until every live instance reports the new generation')
		.option('--wait-seconds <seconds>', 'bound for --wait', '15')
		.addHelpText('after', '\nExample:\n  bergamotgauge apply examples/quebec --based-on 7 --wait');
	for (const option of connectionOptions()) {
		command.addOption(option);
	}

	return command.action(async (directory: string, options: ApplyOptions) => {
		const declarations = await load(directory);
		if (!declarations) {
			return;
		}

		const client = createOperatorClient(options);
		const {bundle} = await client.bundle();
		const basedOn = options.basedOn === undefined ? (bundle?.generation ?? 0) : Number(options.basedOn);
		const generation = await client.apply(basedOn, declarations);
		printLine(`generation ${generation} accepted`);
		if (options.wait) {
			const behind = await waitUntilInForce(client, generation, Number(options.waitSeconds));
			if (behind.length > 0) {
				printError(`not in force on: ${behind.join(', ')}`);
				process.exitCode = EXIT_CODES.notInForce;
			} else {
				printLine(`generation ${generation} is in force on every live instance`);
			}
		}
	});
};
