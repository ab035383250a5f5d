import type {LogLine} from '@bergamotgauge/telemetry';

/** A log line that mentions the traced id, with the instance that wrote it. */
export type TracedLine = Readonly<{instance: string; line: LogLine}>;

/** Log lines of several instances that mention one id, in order of time. */
export type Trace = Readonly<{
	lines: readonly TracedLine[];
	/** Descriptions of clock skew between instances, as far as the lines reveal it. */
	clockNotes: readonly string[];
}>;

/** Whether a value is the id or contains it as a word, as unit ids, paths and reasons do. */
const mentionsId = (value: string, id: string): boolean => value.split(/[^0-9a-z]+/iv).includes(id);

/** Returns the instance name that prefixes a line of a combined log, or the name of the source without such a prefix. */
const instanceOf = ({prefix}: LogLine, source: string): string =>
	prefix === '' ? source : prefix.split(/\s+/v).at(-1)!;

/**
Finds instances whose clock is behind. A job is accepted before anything else happens to it, so an instance with earlier lines about the job has a clock that is behind by at least the difference.
*/
const findClockSkew = (lines: readonly TracedLine[]): readonly string[] => {
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
Collects the log lines that mention one id.

@example
```ts
const {lines, clockNotes} = traceOf('5c0e7a21d94b36f8', [{source: 'instance-1.log', line}]);
```
*/
export const traceOf = (id: string, lines: ReadonlyArray<Readonly<{source: string; line: LogLine}>>): Trace => {
	const matching = lines
		.filter(({line}) => Object.values(line.fields).some((value) => mentionsId(value, id)))
		.map(({source, line}) => ({instance: instanceOf(line, source), line}))
		.toSorted((a, b) => a.line.timeMs - b.line.timeMs);
	return {lines: matching, clockNotes: findClockSkew(matching)};
};
