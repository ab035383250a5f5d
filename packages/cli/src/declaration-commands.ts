import process from 'node:process';
import {ServiceError, type Declarations} from '@bergamotgauge/model';
import {
	diffDeclarations,
	EMPTY_DECLARATIONS,
	EVERY_PARTNER,
	loadDirectory,
	mergePartner,
	type BundleResponse,
	type DeclarationChange,
	type DifferenceKind,
	type ThreeWayDifference,
	type LoadOptions,
	type OperatorClient,
} from '@bergamotgauge/operator';
import {Command} from 'commander';
import {connect, pollUntil} from './connect.js';
import {EXIT_CODES} from './constants.js';
import {checkInteger, connectionOptions, environmentOption, jsonOption, waitOptions, withOptions} from './options.js';
import {printError, printJson, printLine} from './output.js';
import type {ConnectionOptions, WaitOptions} from './types.js';

type JsonOptions = Readonly<{json?: boolean}>;

const load = async (
	directory: string,
	{json}: JsonOptions,
	options: LoadOptions = {},
): Promise<Declarations | undefined> => {
	const result = await loadDirectory(directory, options);
	if (result.ok) {
		return result.declarations;
	}

	process.exitCode = EXIT_CODES.usage;
	if (json) {
		printJson({valid: false, faults: result.faults});
		return undefined;
	}

	for (const {file, line, message} of result.faults) {
		printError(`${file}:${line}: ${message}`);
	}

	return undefined;
};

const formatValue = (value: unknown): string => JSON.stringify(value) ?? 'not set';

const describeChanges = (changes: readonly DeclarationChange[]): readonly string[] => {
	const signs = {added: '+', changed: '~', removed: '-'} as const;
	return changes.flatMap(({kind, collection, name, fields = []}) => [
		`${signs[kind]} ${collection}/${name}`,
		...fields.map(({path, before, after}) => `    ${path}: ${formatValue(before)} -> ${formatValue(after)}`),
	]);
};

/** `validate`: checks declarations without an instance. */
export const validateCommand = (): Command =>
	new Command('validate')
		.description('Check declarations; prints file, line and value of each fault')
		.argument('<directory>', 'directory of .yaml files, or one file')
		.addOption(jsonOption())
		.addHelpText('after', '\nExample:\n  bergamotgauge validate examples/quebec')
		.action(async (directory: string, options: JsonOptions) => {
			const declarations = await load(directory, options);
			if (!declarations) {
				return;
			}

			const counts = Object.entries(declarations).map(([collection, items]) => [collection, items.length] as const);
			if (options.json) {
				printJson({valid: true, counts: Object.fromEntries(counts)});
			} else {
				printLine(`valid: ${counts.map(([collection, count]) => `${count} ${collection}`).join(', ')}`);
			}
		});

/** Loads the files and checks them against the configuration in force, so that references to items of other partners resolve. */
const loadAgainstBundle = async (
	directory: string,
	options: JsonOptions,
	{bundle, partner}: BundleResponse,
): Promise<Declarations | undefined> =>
	load(directory, options, partner === EVERY_PARTNER ? {} : {inForce: bundle ?? EMPTY_DECLARATIONS, partner});

const changesOf = ({bundle, partner}: BundleResponse, declarations: Declarations): readonly DeclarationChange[] => {
	const before = bundle ?? EMPTY_DECLARATIONS;
	return diffDeclarations(before, mergePartner(before, declarations, partner));
};

/** `diff`: compares declarations with the configuration in force. */
export const diffCommand = (): Command =>
	withOptions(
		new Command('diff')
			.description('Show what an apply would change, field by field')
			.argument('<directory>', 'directory of .yaml files, or one file'),
		connectionOptions(),
	)
		.addHelpText('after', '\nExample:\n  bergamotgauge diff examples/quebec')
		.action(async (directory: string, options: ConnectionOptions) => {
			const response = await connect(options).bundle();
			const declarations = await loadAgainstBundle(directory, options, response);
			if (!declarations) {
				return;
			}

			const generation = response.bundle?.generation ?? 0;
			const changes = changesOf(response, declarations);
			if (options.json) {
				printJson({generation, changes});
				return;
			}

			for (const line of [...describeChanges(changes), `${changes.length} changes to generation ${generation}`]) {
				printLine(line);
			}
		});

const findOutdatedInstances = async (client: OperatorClient, generation: number): Promise<readonly string[]> => {
	const {instances} = await client.status();
	return instances
		.filter((instance) => instance.health !== 'dead' && instance.generation < generation)
		.map(({id}) => id);
};

const DIFFERENCE_TEXTS: Readonly<Record<DifferenceKind, string>> = {
	theirs: 'changed by the accepted change only',
	mine: 'changed by the files only',
	same: 'changed by both in the same way',
	conflicting: 'changed by both differently',
};

const applyOrExplain = async (client: OperatorClient, basedOn: number, declarations: Declarations): Promise<number> => {
	try {
		return await client.apply(basedOn, declarations);
	} catch (error) {
		if (error instanceof ServiceError && error.code === 'conflict') {
			const changes = (error.details.changes ?? []) as readonly DeclarationChange[];
			printError(`in force now and different in the files (generation ${formatValue(error.details.generation)}):`);
			for (const line of describeChanges(changes)) {
				printError(line);
			}

			for (const {kind, collection, name} of (error.details.differences ?? []) as readonly ThreeWayDifference[]) {
				printError(`${collection}/${name}: ${DIFFERENCE_TEXTS[kind]}`);
			}
		}

		throw error;
	}
};

type Proposal = Readonly<{pool: string; waitsFor: readonly string[]}>;

/** Finds pools for which the operator's partner has a pending proposal, with the partners that must agree to it. */
const findProposals = async (client: OperatorClient): Promise<readonly Proposal[]> => {
	const {bundle, partner} = await client.bundle();
	return (bundle?.pools ?? [])
		.filter(({proposals = []}) => proposals.some((proposal) => proposal.partner === partner))
		.map(({name, agreedBy = [], shares}) => ({
			pool: name,
			waitsFor: [...new Set([...agreedBy, ...shares.map((share) => share.partner)])].filter(
				(other) => other !== partner,
			),
		}));
};

/** Whether the token is still valid after the apply. The bootstrap token is refused after the first generation, unless the declarations contain its hash. */
const canRead = async (client: OperatorClient, {partner}: BundleResponse): Promise<boolean> => {
	if (partner !== EVERY_PARTNER) {
		return true;
	}

	try {
		await client.status();
		return true;
	} catch (error) {
		if (error instanceof ServiceError && error.code === 'unauthenticated') {
			return false;
		}

		throw error;
	}
};

type ApplyOptions = ConnectionOptions & WaitOptions & Readonly<{basedOn?: number}>;

/** What is known about an accepted generation. */
type Effect = {proposals?: readonly Proposal[]; notInForce?: readonly string[]};

const printUnlessJson = ({json}: JsonOptions, line: string): void => {
	if (!json) {
		printLine(line);
	}
};

const waitUntilInForce = async (client: OperatorClient, generation: number, options: ApplyOptions) => {
	const notInForce = await pollUntil(
		options.waitSeconds,
		async () => findOutdatedInstances(client, generation),
		(outdated) => outdated.length === 0,
	);
	if (notInForce.length > 0) {
		process.exitCode = EXIT_CODES.notInForce;
		printError(`generation ${generation} is not in force on: ${notInForce.join(', ')}`);
	} else {
		printUnlessJson(options, `generation ${generation} is in force on every live instance`);
	}

	return notInForce;
};

/** Adds to the effect what the instance reports about an accepted generation. */
const readEffect = async (
	effect: Effect,
	client: OperatorClient,
	{response, generation, options}: Readonly<{response: BundleResponse; generation: number; options: ApplyOptions}>,
): Promise<void> => {
	const isReadable = await canRead(client, response);
	const proposals = isReadable ? await findProposals(client) : [];
	effect.proposals = proposals;
	for (const {pool, waitsFor} of proposals) {
		printUnlessJson(
			options,
			`pool ${pool}: the terms are a proposal until ${waitsFor.join(' and ')} declares the same`,
		);
	}

	if (options.wait && isReadable) {
		effect.notInForce = await waitUntilInForce(client, generation, options);
	} else if (options.wait) {
		printError('the bootstrap token is no longer valid; run status with an operator token to see the instances');
	}
};

const runApply = async (directory: string, options: ApplyOptions): Promise<void> => {
	const client = connect(options);
	const response = await client.bundle();
	const declarations = await loadAgainstBundle(directory, options, response);
	if (!declarations) {
		return;
	}

	const generation = await applyOrExplain(client, options.basedOn ?? response.bundle?.generation ?? 0, declarations);
	printUnlessJson(options, `generation ${generation} accepted`);
	const effect: Effect = {};
	try {
		await readEffect(effect, client, {response, generation, options});
	} catch (error) {
		if (!(error instanceof ServiceError)) {
			throw error;
		}

		// The command must not fail as if the change had been refused.
		printError(`generation ${generation} is accepted, but its effect cannot be read: ${error.message}`);
		if (options.wait) {
			process.exitCode = EXIT_CODES.notInForce;
		}
	}

	if (options.json) {
		printJson({generation, ...effect});
	}
};

/** `apply`: applies declarations as the next generation of the configuration. */
export const applyCommand = (): Command =>
	withOptions(
		new Command('apply')
			.description("Make declarations the configuration in force; replaces the operator's own partner only")
			.argument('<directory>', 'directory of .yaml files, or one file'),
		[
			environmentOption(
				'--based-on <generation>',
				'generation on which the change is based; default: the one in force now',
				checkInteger(0, Number.MAX_SAFE_INTEGER),
			),
			...waitOptions('wait until every live instance reports the new generation'),
			...connectionOptions(),
		],
	)
		.addHelpText('after', '\nExample:\n  bergamotgauge apply examples/quebec --based-on 7 --wait')
		.action(runApply);
