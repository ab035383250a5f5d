import type {LogLine} from '@bergamotgauge/telemetry';

/** A line of the story, with the instance that wrote it. */
export type TracedLine = Readonly<{instance: string; line: LogLine}>;

/** What several instances wrote about one id, in order. */
export type Trace = Readonly<{
	lines: readonly TracedLine[];
	/** Differences between clocks that the lines themselves show. */
	clockNotes: readonly string[];
}>;

/** Whether a value names the id: the id itself, or a unit, path or reason with it. */
const names = (value: string, id: string): boolean => value.split(/[^0-9a-z]+/iv).includes(id);

/** The name before a line of a collected log, or the one of its file. */
const instanceOf = ({prefix}: LogLine, source: string): string =>
	prefix === '' ? source : prefix.split(/\s+/v).at(-1)!;

/**
A job is accepted before anything else happens to it, so an instance whose lines of the job are older has a clock that is behind by at least the difference.
*/
const compareClocks = (lines: readonly TracedLine[]): readonly string[] => {
	const accepted = lines.find(({line}) => line.event === 'job-accepted' && line.fields.repeated !== 'true');
	if (!accepted) {
		return [];
	}

	const firstByInstance = new Map<string, number>();
	for (const {instance, line} of lines) {
		if (line.event !== 'job-accepted' && line.event !== 'request-refused' && !firstByInstance.has(instance)) {
			firstByInstance.set(instance, line.timeMs);
		}
	}

	return [...firstByInstance]
		.filter(([, timeMs]) => timeMs < accepted.line.timeMs)
		.map(([instance, timeMs]) => {
			const behindMs = accepted.line.timeMs - timeMs;
			return `the clock of ${instance} is behind that of ${accepted.instance} by at least ${behindMs} ms`;
		});
};

/**
Collects what logs say about one id.

@example
```ts
const {lines, clockNotes} = traceOf('5c0e7a21d94b36f8', [{source: 'instance-1.log', line}]);
```
*/
export const traceOf = (id: string, lines: ReadonlyArray<Readonly<{source: string; line: LogLine}>>): Trace => {
	const found = lines
		.filter(({line}) => Object.values(line.fields).some((value) => names(value, id)))
		.map(({source, line}) => ({instance: instanceOf(line, source), line}))
		.toSorted((a, b) => a.line.timeMs - b.line.timeMs);
	return {lines: found, clockNotes: compareClocks(found)};
};
