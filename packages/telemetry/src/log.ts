import bunyan from 'bunyan';
import {limitLines} from './limit-lines.js';
import type {Fields, Log, LogLevel, LogOutput} from './types.js';

/** Fields that bunyan adds and that a line does not repeat. */
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

const wrap = (logger: bunyan): Log => {
	const at =
		(level: LogLevel) =>
		(event: string, fields: Fields = {}) => {
			logger[level](fields, event);
		};

	return {
		debug: at('debug'),
		info: at('info'),
		warn: at('warn'),
		error: at('error'),
		with: (fields) => wrap(logger.child(fields)),
	};
};

/**
A log that writes one key=value line for each event. Events of one kind beyond a number a second are counted instead of written.

@example
```ts
const log = createLog({level: 'info', output: openLogOutput()});
log.info('job-accepted', {job: id, customer: 'acme'});
```
*/
export const createLog = ({level, output}: Readonly<{level: LogLevel; output: LogOutput}>): Log => {
	const isWithinLimit = limitLines((event, omitted) => {
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
	return wrap(logger);
};

/** A log that drops every event. */
export const createSilentLog = (): Log => {
	const drop = () => {};

	const log: Log = {debug: drop, info: drop, warn: drop, error: drop, with: () => log};
	return log;
};
