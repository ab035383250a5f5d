/** A parsed log line. */
export type LogLine = Readonly<{
	/** Text that a log collector added before the line, often the name of the instance. */
	prefix: string;
	/** Time stamp of the line by the clock of the instance that wrote it, in ms since the epoch. */
	timeMs: number;
	level: string;
	event: string;
	fields: Readonly<Record<string, string>>;
}>;

const PAIR = /(?<key>[^\s=]+)=(?:"(?<quoted>(?:[^"\\]|\\.)*)"|(?<plain>\S*))/gv;

const unquote = (text: string): string => {
	try {
		return JSON.parse(`"${text}"`) as string;
	} catch {
		// A truncated line can end in the middle of an escape sequence; its text is returned unchanged.
		return text;
	}
};

/**
Parses a line written by `formatRecord`. Returns `undefined` for other text.

@example
```ts
parseLine('edge-1 time=2026-02-14T06:57:01.975Z level=info event=job-accepted job=5c0e7a21d94b36f8')?.fields.job;
```
*/
export const parseLine = (text: string): LogLine | undefined => {
	const start = /(?:^|\s)time=/v.exec(text);
	if (!start) {
		return undefined;
	}

	const timeOffset = text.indexOf('time=', start.index);
	const pairs: Record<string, string> = {};
	for (const {groups} of text.slice(timeOffset).matchAll(PAIR)) {
		pairs[groups!.key!] = groups!.quoted === undefined ? (groups!.plain ?? '') : unquote(groups!.quoted);
	}

	const {time = '', level = '', event = '', ...fields} = pairs;
	const timeMs = Date.parse(time);
	return Number.isNaN(timeMs) ? undefined : {prefix: text.slice(0, timeOffset).trim(), timeMs, level, event, fields};
};
