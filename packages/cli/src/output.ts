import process from 'node:process';

export const printLine = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

export const printError = (line: string): void => {
	process.stderr.write(`${line}\n`);
};

export const printJson = (value: unknown): void => {
	printLine(JSON.stringify(value, undefined, 2));
};

/** Prints rows as aligned columns below a header. */
export const printTable = (header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): void => {
	const all = [header, ...rows.map((row) => row.map(String))];
	const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)));
	for (const row of all) {
		printLine(
			row
				.map((cell, column) => cell.padEnd(widths[column] ?? 0))
				.join('  ')
				.trimEnd(),
		);
	}
};
