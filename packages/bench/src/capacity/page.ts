import {readFile, writeFile} from 'node:fs/promises';
import {roleTable, slopeTable, storeTable, totalTable} from './tables.js';
import type {Series} from './types.js';

/** Renderers of the generated tables by marker name. */
const TABLES: Readonly<Record<string, (series: readonly Series[]) => string>> = {
	slopes: slopeTable,
	roles: roleTable,
	totals: totalTable,
	store: storeTable,
};

/**
Replaces the text between `<!-- table:NAME -->` and `<!-- /table -->` in a page and leaves all other text unchanged.

@throws {Error} when a marker is missing.
*/
export const replaceTables = (page: string, series: readonly Series[]): string => {
	let result = page;
	for (const [name, render] of Object.entries(TABLES)) {
		const open = `<!-- table:${name} -->`;
		const start = result.indexOf(open);
		const end = result.indexOf('<!-- /table -->', start);
		if (start === -1 || end === -1) {
			throw new Error(`the page has no marker ${open}`);
		}

		result = `${result.slice(0, start + open.length)}\n\n${render(series)}\n\n${result.slice(end)}`;
	}

	return result;
};

/** Rewrites the tables of a page in place. */
export const updatePage = async (file: string, series: readonly Series[]): Promise<void> => {
	await writeFile(file, replaceTables(await readFile(file, 'utf8'), series));
};
