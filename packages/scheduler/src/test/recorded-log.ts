import {createLog, parseLine, type Log, type LogLine} from '@bergamotgauge/telemetry';

/** Creates a log whose lines are recorded. */
export const createRecordedLog = (): Readonly<{log: Log; lines: readonly LogLine[]}> => {
	const lines: LogLine[] = [];
	const log = createLog({
		level: 'info',
		output: {
			write(text: string) {
				const line = parseLine(text);
				if (line) {
					lines.push(line);
				}
			},
		},
	});
	return {log, lines};
};
