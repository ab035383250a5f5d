import {findDataFault} from '@bergamotgauge/model';
import {isAlias, isMap, isScalar, isSeq, visit, type Alias, type Document, type LineCounter, type Node} from 'yaml';
import type {z} from 'zod';
import {MAX_ALIAS_COUNT} from './constants.js';
import {describeField, describeLine, describeValue, valueAt} from './describe-value.js';
import {DOCUMENT_KINDS, type DocumentKind} from './schema.js';
import type {DeclarationFault} from './types.js';

/** A validated document and its location. */
export type LocatedDocument = Readonly<{
	kind: DocumentKind;
	value: Readonly<{name: string}>;
	file: string;
	line: number;
	/** Returns the line of a path inside the document, or of its closest existing ancestor. */
	lineOf: (path: readonly PropertyKey[]) => number;
}>;

export type FileResult = Readonly<{documents: readonly LocatedDocument[]; faults: readonly DeclarationFault[]}>;

type Source = Readonly<{document: Document.Parsed; file: string; lines: LineCounter}>;

const startOffsetOf = (node: unknown): number | undefined => (node as Node | undefined)?.range?.[0];

const lineOf = ({document, lines}: Source, path: readonly PropertyKey[]): number => {
	let node: unknown = document.contents;
	let offset = startOffsetOf(node) ?? document.range[0];
	for (const key of path) {
		if (isAlias(node)) {
			node = node.resolve(document);
		}

		if (isMap(node)) {
			const pair = node.items.find((item) => isScalar(item.key) && String(item.key.value) === String(key));
			offset = startOffsetOf(pair?.key) ?? offset;
			node = pair?.value;
		} else if (isSeq(node)) {
			node = node.items[Number(key)];
			offset = startOffsetOf(node) ?? offset;
		} else {
			break;
		}
	}

	return lines.linePos(offset).line;
};

/** Returns the alias that made the expansion fail: the first one without an anchor, otherwise the last one within `MAX_ALIAS_COUNT`. */
const findAlias = (document: Document.Parsed): Alias | undefined => {
	const aliases: Alias[] = [];
	visit(document, {
		Alias(_key, node) {
			aliases.push(node);
		},
	});
	return aliases.find((alias) => !alias.resolve(document)) ?? aliases.slice(0, MAX_ALIAS_COUNT).at(-1);
};

const describeIssue = (
	source: Source,
	label: string,
	content: unknown,
	issue: z.core.$ZodIssue,
): readonly DeclarationFault[] => {
	const faultAt = (path: readonly PropertyKey[], message: string): DeclarationFault => ({
		file: source.file,
		line: lineOf(source, path),
		message: `${label}: ${message}`,
	});

	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map((key) => {
			const path = [...issue.path, key];
			return faultAt(path, `unknown key "${path.join('.')}" with value ${describeField(path, valueAt(content, path))}`);
		});
	}

	const message = issue.code === 'invalid_key' ? (issue.issues[0]?.message ?? issue.message) : issue.message;
	const pathText = issue.path.join('.') || 'document';
	return [faultAt(issue.path, `${pathText} is ${describeField(issue.path, valueAt(content, issue.path))}: ${message}`)];
};

const checkContent = (source: Source, content: unknown): FileResult => {
	const {file} = source;
	const line = lineOf(source, []);
	const withFaults = (faults: readonly DeclarationFault[]): FileResult => ({documents: [], faults});
	const dataFault = findDataFault(content);
	if (dataFault) {
		const {path, message} = dataFault;
		return withFaults([{file, line: lineOf(source, path), message: `${path.join('.')}: ${message}`}]);
	}

	if (typeof content !== 'object' || content === null || Array.isArray(content)) {
		return withFaults([{file, line, message: `a document must be a map, but is ${describeValue(content)}`}]);
	}

	const {kind, ...rest} = content as Readonly<Record<string, unknown>>;
	if (typeof kind !== 'string' || !Object.hasOwn(DOCUMENT_KINDS, kind)) {
		const message = `kind is ${describeValue(kind)}; allowed: ${Object.keys(DOCUMENT_KINDS).join(', ')}`;
		return withFaults([{file, line: lineOf(source, ['kind']), message}]);
	}

	const result = DOCUMENT_KINDS[kind as DocumentKind].schema.safeParse(rest);
	if (!result.success) {
		const label = `${kind} ${describeValue(rest.name)}`;
		return withFaults(result.error.issues.flatMap((issue) => describeIssue(source, label, rest, issue)));
	}

	const located = {kind: kind as DocumentKind, value: result.data, file, line};
	return {documents: [{...located, lineOf: (path) => lineOf(source, path)}], faults: []};
};

/** Checks one YAML document against the schema of its kind, without references to other documents. */
export const checkDocument = (source: Source, text: string): FileResult => {
	const {document, file, lines} = source;
	// A warning reports an unresolved tag, whose value would differ from what the author intended.
	const problems = [...document.errors, ...document.warnings];
	if (problems.length > 0) {
		const faults = problems.map((error) => {
			const {line} = lines.linePos(error.pos[0]);
			const excerpt = describeLine(text.split('\n', line)[line - 1]?.trim() ?? '');
			return {file, line, message: `${error.message.split('\n', 1)[0]?.replace(/ at line .*$/v, '')} near ${excerpt}`};
		});
		return {documents: [], faults};
	}

	let content: unknown;
	try {
		content = document.toJS({maxAliasCount: MAX_ALIAS_COUNT});
	} catch (error) {
		const alias = findAlias(document);
		const {line} = lines.linePos(startOffsetOf(alias) ?? document.range[0]);
		const message = `alias "*${alias?.source}": ${error instanceof Error ? error.message : String(error)}`;
		return {documents: [], faults: [{file, line, message}]};
	}

	return content === null ? {documents: [], faults: []} : checkContent(source, content);
};
