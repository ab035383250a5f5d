import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import {ServiceError, type Declarations, type Pool, type Rack} from '@bergamotgauge/model';
import {LineCounter, parseAllDocuments, type Document} from 'yaml';
import {findItemFaults} from './check-declarations.js';
import {MAX_APPLY_BYTES} from './constants.js';
import {checkDocument, type FileResult, type LocatedDocument} from './document.js';
import {mergePartner} from './merge-partner.js';
import {namedPartners, withPartner} from './partners.js';
import {DOCUMENT_KINDS, type DocumentKind, type PoolDocument, type RackDocument} from './schema.js';
import type {DeclarationFault, LoadOptions, LoadResult} from './types.js';

type SourceFile = Readonly<{file: string; text: string}>;

const checkText = ({file, text}: SourceFile): FileResult => {
	if (text.length > MAX_APPLY_BYTES) {
		const message = `the file has ${text.length} characters, more than ${MAX_APPLY_BYTES}`;
		return {documents: [], faults: [{file, line: 1, message}]};
	}

	const lines = new LineCounter();
	const documents = parseAllDocuments(text, {lineCounter: lines, merge: true, logLevel: 'error'});
	const results = [...documents].map((document) => checkDocument({document, file, lines}, text));
	return {
		documents: results.flatMap((result) => result.documents),
		faults: results.flatMap((result) => result.faults),
	};
};

const termsOf = ({weights, shares}: PoolDocument) => ({
	weights,
	shares: shares.toSorted((a, b) => a.partner.localeCompare(b.partner)),
});

/** Returns the fault of a repeated declaration. Several partners may each declare the same pool with the same terms; everything else may be declared only once. */
const compareWithFirst = (document: LocatedDocument, first: LocatedDocument): string | undefined => {
	const label = `${document.kind} "${document.value.name}"`;
	const firstLocation = `${first.file}:${first.line}`;
	if (document.kind !== 'Pool') {
		return `${label} is declared already at ${firstLocation}`;
	}

	const [pool, firstPool] = [document.value as PoolDocument, first.value as PoolDocument];
	if (pool.partner === firstPool.partner) {
		return `${label} is declared already at ${firstLocation}`;
	}

	return isDeepStrictEqual(termsOf(pool), termsOf(firstPool))
		? undefined
		: `${label}: weights or shares differ from those of partner "${firstPool.partner}" at ${firstLocation}`;
};

const findDuplicates = (documents: readonly LocatedDocument[]): readonly DeclarationFault[] => {
	const seen = new Map<string, LocatedDocument>();
	return documents.flatMap((document) => {
		const id = `${document.kind}/${document.value.name}`;
		const first = seen.get(id);
		seen.set(id, first ?? document);
		const message = first && compareWithFirst(document, first);
		return message === undefined ? [] : [{file: document.file, line: document.lineOf(['name']), message}];
	});
};

const toRack = ({workers, workerDefaults, ...rest}: RackDocument): Rack => ({
	...(rest as Omit<Rack, 'workers'>),
	workers: workers.map((worker, index) => ({
		...workerDefaults,
		...(worker as Readonly<{name: string; address?: string}>),
		position: worker.position ?? index,
		labels: {...workerDefaults.labels, ...worker.labels},
		rack: rest.name,
		availabilityZone: rest.availabilityZone,
	})),
});

const byName = <Item extends Readonly<{name: string}>>(items: readonly Item[]): readonly Item[] =>
	items.toSorted((a, b) => a.name.localeCompare(b.name));

const toPools = (documents: readonly PoolDocument[]): readonly Pool[] => {
	const pools = new Map(documents.map(({name, weights, shares}) => [name, {name, weights, shares}]));
	return [...pools.values()];
};

const assembleDeclarations = (documents: readonly LocatedDocument[]): Declarations => {
	const collect = (kind: DocumentKind): never[] =>
		byName(documents.filter((document) => document.kind === kind).map((document) => document.value)) as never[];
	return {
		customers: collect('Customer'),
		guarantees: collect('Guarantee'),
		jobClasses: collect('JobClass'),
		pools: toPools(collect('Pool')),
		placementRules: collect('PlacementRule'),
		racks: (collect('Rack') as RackDocument[]).map((rack) => toRack(rack)),
		services: collect('Service'),
		tokens: collect('Token'),
	};
};

const findItemsWithoutPartner = (
	documents: readonly LocatedDocument[],
	partners: readonly string[],
): readonly DeclarationFault[] =>
	documents
		.filter(
			({kind, value}) =>
				(kind === 'Rack' || kind === 'JobClass') && (value as Readonly<{partner?: string}>).partner === undefined,
		)
		.map(({kind, value, file, line}) => ({
			file,
			line,
			message: `${kind} "${value.name}": partner is not set; set it to one of ${partners.join(', ')}`,
		}));

const locateItemFaults = (
	documents: readonly LocatedDocument[],
	declarations: Declarations,
): readonly DeclarationFault[] =>
	findItemFaults(declarations).map(({collection, name, message, path: itemPath}) => {
		const document = documents.find(
			({kind, value}) => DOCUMENT_KINDS[kind].collection === collection && value.name === name,
		);
		return {
			file: document?.file ?? 'configuration in force',
			line: document?.lineOf(itemPath ?? []) ?? 0,
			message: `${document?.kind ?? collection} "${name}": ${message}`,
		};
	});

/**
Checks the text of declaration files. With `inForce` and `partner`, references are checked against the configuration that would result if the partner applied the files.

@example
```ts
const result = loadTexts([{file: 'customers.yaml', text}]);
```
*/
export const loadTexts = (files: readonly SourceFile[], {inForce, partner}: LoadOptions = {}): LoadResult => {
	const results = files.map((file) => checkText(file));
	const documents = results.flatMap((result) => result.documents);
	const faults = [...results.flatMap((result) => result.faults), ...findDuplicates(documents)];
	if (faults.length > 0) {
		return {ok: false, faults};
	}

	const declared = assembleDeclarations(documents);
	const partners = namedPartners(declared);
	const owner = partner ?? (partners.length === 1 ? partners[0] : undefined);
	const partnerFaults = owner === undefined && partners.length > 1 ? findItemsWithoutPartner(documents, partners) : [];
	if (partnerFaults.length > 0) {
		return {ok: false, faults: partnerFaults};
	}

	const declarations = owner === undefined ? declared : withPartner(declared, owner);
	const merged = inForce && partner !== undefined ? mergePartner(inForce, declarations, partner) : declarations;
	const itemFaults = locateItemFaults(documents, merged);
	return itemFaults.length > 0 ? {ok: false, faults: itemFaults} : {ok: true, declarations};
};

const listFiles = async (directory: string): Promise<readonly string[]> => {
	try {
		const status = await stat(directory);
		if (status.isFile()) {
			return [directory];
		}

		const names = await readdir(directory, {recursive: true});
		return names
			.filter((name) => /\.ya?ml$/v.test(name))
			.map((name) => path.join(directory, name))
			.toSorted((a, b) => a.localeCompare(b));
	} catch (error) {
		throw new ServiceError(`cannot read ${directory}: ${String(error)}`, {code: 'bad-request', verdict: 'not-run'});
	}
};

const readSource = async (file: string): Promise<SourceFile> => {
	const {size} = await stat(file);
	if (size > MAX_APPLY_BYTES) {
		throw new ServiceError(`${file} has ${size} bytes, more than ${MAX_APPLY_BYTES}`, {
			code: 'too-large',
			verdict: 'not-run',
		});
	}

	return {file, text: await readFile(file, 'utf8')};
};

/**
Reads and checks the `.yaml` and `.yml` files of a directory and its subdirectories, or a single file.

@example
```ts
const result = await loadDirectory('examples/quebec');
```

@throws {ServiceError} `bad-request` when there is no file to read, `too-large` for a file above the size limit.
*/
export const loadDirectory = async (directory: string, options: LoadOptions = {}): Promise<LoadResult> => {
	const files = await listFiles(directory);
	if (files.length === 0) {
		throw new ServiceError(`${directory} has no .yaml file`, {code: 'bad-request', verdict: 'not-run'});
	}

	return loadTexts(await Promise.all(files.map(async (file) => readSource(file))), options);
};
