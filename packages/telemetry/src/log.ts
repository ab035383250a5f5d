import bunyan from 'bunyan';
import {createLineLimiter} from './line-limiter.js';
import type {Fields, Log, LogLevel, LogOutput} from './types.js';

/** Fields that bunyan adds and that are not written as key=value pairs. */
const OMITTED_FIELDS = new Set(['name', 'hostname', 'pid', 'v', 'msg', 'level', 'time']);

const formatValue = (value: unknown): string => {
	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return /^[\w.\/:+@\-]+$/v.test(text) ? text : JSON.stringify(text);
};

/**
Formats a bunyan record as one line of key=value pairs.

@example
```ts
formatRecord({time: new Date(0), level: 30, msg: 'started', port: 80}); // 'time=1970-01-01T00:00:00.000Z level=info event=started port=80'
```
*/
export const formatRecord = (record: Readonly<Record<string, unknown>>): string => {
	const time = record.time instanceof Date ? record.time.toISOString() : String(record.time);
	const level = bunyan.nameFromLevel[record.level as bunyan.LogLevel & number] ?? 'info';
	const pairs = Object.entries(record)
		.filter(([key, value]) => !OMITTED_FIELDS.has(key) && value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(value)}`);
	return [`time=${time}`, `level=${level}`, `event=${formatValue(record.msg)}`, ...pairs].join(' ');
};

const wrapLogger = (logger: bunyan): Log => {
	const logAt =
		(level: LogLevel) =>
		(event: string, fields: Fields = {}) => {
			logger[level](fields, event);
		};

	return {
		debug: logAt('debug'),
		info: logAt('info'),
		warn: logAt('warn'),
		error: logAt('error'),
		with: (fields) => wrapLogger(logger.child(fields)),
	};
};

/**
Creates a log that writes one line of key=value pairs for each event. Events of one name are rate-limited; those above the limit are counted and reported in a `lines-omitted` line.

@example
```ts
const log = createLog({level: 'info', output: openLogOutput()});
log.info('job-accepted', {job: id, customer: 'acme'});
```
*/
export const createLog = ({level, output}: Readonly<{level: LogLevel; output: LogOutput}>): Log => {
	const isWithinLimit = createLineLimiter((event, omitted) => {
		const record = {time: new Date(), level: bunyan.INFO, msg: 'lines-omitted', kind: event, lines: omitted};
		output.write(`${formatRecord(record)}\n`);
	});
	const stream = {
		write(record: Record<string, unknown>) {
			if (isWithinLimit(String(record.msg))) {
				output.write(`${formatRecord(record)}\n`);
			}
		},
	};
	const logger = bunyan.createLogger({
		name: 'bergamotgauge',
		streams: [{type: 'raw', level, stream: stream as unknown as NodeJS.WritableStream}],
	});
	return wrapLogger(logger);
};

/** Creates a log that discards all events. */
export const createSilentLog = (): Log => {
	const drop = () => {};

	const log: Log = {debug: drop, info: drop, warn: drop, error: drop, with: () => log};
	return log;
};
