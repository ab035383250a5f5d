import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {ServiceError, type Declarations, type Rack} from '@bergamotgauge/model';
import {checkGuarantees} from '@bergamotgauge/placement';
import {isAlias, isMap, isSeq, LineCounter, parseAllDocuments, type Document, type Node} from 'yaml';
import {checkReferences} from './references.js';
import {DOCUMENT_KINDS, type DocumentKind, type RackDocument} from './schema.js';
import type {DeclarationFault, LoadResult} from './types.js';

/** A checked document and where it stands. */
export type LocatedDocument = Readonly<{
	kind: DocumentKind;
	value: Readonly<{name: string}>;
	file: string;
	line: number;
}>;

type FileResult = Readonly<{documents: readonly LocatedDocument[]; faults: readonly DeclarationFault[]}>;

const lineOf = (document: Document, counter: LineCounter, keys: readonly PropertyKey[]): number => {
	let node: unknown = document.contents;
	let offset = (node as Node | undefined)?.range?.[0] ?? document.range?.[0] ?? 0;
	for (const key of keys) {
		if (isAlias(node)) {
			node = node.resolve(document);
		}

		if (!isMap(node) && !isSeq(node)) {
			break;
		}

		node = node.get(key, true);
		offset = (node as Node | undefined)?.range?.[0] ?? offset;
	}

	return counter.linePos(offset).line;
};

const describe = (value: unknown): string => {
	const text = JSON.stringify(value) ?? 'nothing';
	return text.length > 80 ? `${text.slice(0, 77)}...` : text;
};

const valueAt = (value: unknown, keys: readonly PropertyKey[]): unknown => {
	let current = value;
	for (const key of keys) {
		current = (current as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return current;
};

const isDocumentKind = (kind: unknown): kind is DocumentKind =>
	typeof kind === 'string' && Object.hasOwn(DOCUMENT_KINDS, kind);

const checkDocument = (document: Document.Parsed, file: string, counter: LineCounter): FileResult => {
	const faultAt = (line: number, message: string): FileResult => ({documents: [], faults: [{file, line, message}]});
	if (document.errors.length > 0) {
		const faults = document.errors.map((error) => ({
			file,
			line: counter.linePos(error.pos[0]).line,
			message: error.message.split('\n', 1)[0] ?? error.code,
		}));
		return {documents: [], faults};
	}

	const content: unknown = document.toJS();
	if (content === null) {
		return {documents: [], faults: []};
	}

	const {kind, ...rest} = content as Readonly<Record<string, unknown>>;
	const line = lineOf(document, counter, []);
	if (!isDocumentKind(kind)) {
		return faultAt(line, `kind is ${describe(kind)}; allowed: ${Object.keys(DOCUMENT_KINDS).join(', ')}`);
	}

	const result = DOCUMENT_KINDS[kind].schema.safeParse(rest);
	if (!result.success) {
		const faults = result.error.issues.map((issue) => ({
			file,
			line: lineOf(document, counter, issue.path),
			message: `${kind} ${describe(rest.name)}: ${issue.path.join('.') || 'document'} is ${describe(valueAt(rest, issue.path))}: ${issue.message}`,
		}));
		return {documents: [], faults};
	}

	return {documents: [{kind, value: result.data, file, line}], faults: []};
};

const checkText = (text: string, file: string): FileResult => {
	const counter = new LineCounter();
	const documents = parseAllDocuments(text, {lineCounter: counter, merge: true});
	const results = [...documents].map((document) => checkDocument(document as Document.Parsed, file, counter));
	return {
		documents: results.flatMap((result) => result.documents),
		faults: results.flatMap((result) => result.faults),
	};
};

const findDuplicates = (documents: readonly LocatedDocument[]): readonly DeclarationFault[] => {
	const seen = new Map<string, LocatedDocument>();
	const faults: DeclarationFault[] = [];
	for (const document of documents) {
		const id = `${document.kind}/${document.value.name}`;
		const first = seen.get(id);
		if (first) {
			const message = `${document.kind} "${document.value.name}" is declared already at ${first.file}:${first.line}`;
			faults.push({file: document.file, line: document.line, message});
		}

		seen.set(id, first ?? document);
	}

	return faults;
};

const toRack = ({workers, workerDefaults, ...rest}: RackDocument): Rack => ({
	...rest,
	workers: workers.map((worker, index) => ({
		...workerDefaults,
		...worker,
		position: worker.position ?? index,
		labels: {...workerDefaults.labels, ...worker.labels},
		rack: rest.name,
		availabilityZone: rest.availabilityZone,
	})),
});

const byName = <Item extends Readonly<{name: string}>>(items: readonly Item[]): readonly Item[] =>
	items.toSorted((a, b) => a.name.localeCompare(b.name));

const assemble = (documents: readonly LocatedDocument[]): Declarations => {
	const collect = (kind: DocumentKind): never[] =>
		byName(documents.filter((document) => document.kind === kind).map((document) => document.value)) as never[];
	return {
		customers: collect('Customer'),
		guarantees: collect('Guarantee'),
		jobClasses: collect('JobClass'),
		pools: collect('Pool'),
		placementRules: collect('PlacementRule'),
		racks: (collect('Rack') as RackDocument[]).map((rack) => toRack(rack)),
		services: collect('Service'),
		tokens: collect('Token'),
	};
};

const checkFit = (documents: readonly LocatedDocument[], declarations: Declarations): readonly DeclarationFault[] => {
	try {
		checkGuarantees(declarations);
		return [];
	} catch (error) {
		if (!(error instanceof ServiceError)) {
			throw error;
		}

		const {message} = error;
		const culprit = documents.find(({kind, value}) => kind === 'Guarantee' && message.includes(` ${value.name} `));
		return [{file: culprit?.file ?? '', line: culprit?.line ?? 0, message}];
	}
};

/**
Checks the text of declaration files.

@example
```ts
const result = loadTexts([{file: 'customers.yaml', text}]);
```
*/
export const loadTexts = (files: ReadonlyArray<Readonly<{file: string; text: string}>>): LoadResult => {
	const results = files.map(({file, text}) => checkText(text, file));
	const documents = results.flatMap((result) => result.documents);
	const faults = [...results.flatMap((result) => result.faults), ...findDuplicates(documents)];
	if (faults.length > 0) {
		return {ok: false, faults};
	}

	const declarations = assemble(documents);
	const later = [...checkReferences(documents, declarations)];
	const allFaults = later.length > 0 ? later : checkFit(documents, declarations);
	return allFaults.length > 0 ? {ok: false, faults: allFaults} : {ok: true, declarations};
};

/**
Reads and checks the `.yaml` files of a directory, or one file.

@example
```ts
const result = await loadDirectory('examples/quebec');
```

@throws {ServiceError} `bad-request` when there is no file to read.
*/
export const loadDirectory = async (directory: string): Promise<LoadResult> => {
	let names: string[];
	try {
		const status = await stat(directory);
		const listed = status.isFile() ? [''] : await readdir(directory);
		names = listed.map((file) => path.join(directory, file));
	} catch (error) {
		throw new ServiceError(`cannot read ${directory}: ${String(error)}`, {code: 'bad-request', verdict: 'not-run'});
	}

	const files = names.filter((file) => /\.ya?ml$/v.test(file)).toSorted((a, b) => a.localeCompare(b));
	if (files.length === 0) {
		throw new ServiceError(`${directory} has no .yaml file`, {code: 'bad-request', verdict: 'not-run'});
	}

	const texts = await Promise.all(files.map(async (file) => ({file, text: await readFile(file, 'utf8')})));
	return loadTexts(texts);
};
