import t from 'tap';
import {parseLine, type LogLine} from '@bergamotgauge/telemetry';
import {traceOf} from './trace.js';

const ID = '5c0e7a21d94b36f8';

const line = (atMs: number, text: string): LogLine =>
	parseLine(`time=${new Date(atMs).toISOString()} level=info ${text}`)!;

const LINES = [
	{source: 'leader', line: line(1020, `event=part-start job=${ID} part=0.0.gang run=1`)},
	{source: 'leader', line: line(900, 'event=part-start job=0000000000000001 part=0.0.0 run=1')},
	{source: 'leader', line: line(3000, `event=unit-stop unit=00000000000000aa.0.0.1 reason=evicted-for-${ID}`)},
	{
		source: 'entry',
		line: line(500, `event=request-refused path=/q/${ID} status=503 reason="the store does not answer"`),
	},
	{source: 'entry', line: line(1000, `event=job-accepted job=${ID} repeated=false`)},
	{source: 'leader', line: line(4000, `event=unit-ended unit=${ID}.0.0.3 how=done`)},
];

// Guards against a trace that misses lines: an id occurs alone, inside unit ids, in paths and in reasons.
await t.test('all lines that mention the id are listed in order of time', async (t) => {
	const {lines, clockNotes} = traceOf(ID, LINES);
	t.same(
		lines.map(({instance, line: {event}}) => `${instance} ${event}`),
		['entry request-refused', 'entry job-accepted', 'leader part-start', 'leader unit-stop', 'leader unit-ended'],
	);
	t.same(clockNotes, []);
});

await t.test('a clock that is behind is reported', async (t) => {
	const behind = LINES.map(({source, line: original}) => ({
		source,
		line: source === 'leader' ? {...original, timeMs: original.timeMs - 250} : original,
	}));
	t.same(traceOf(ID, behind).clockNotes, ['the clock of leader is behind that of entry by at least 230 ms']);
});

await t.test('an id within a longer word is another id', async (t) => {
	t.equal(traceOf(ID, [{source: 'a', line: line(0, `event=job-accepted job=${ID}0`)}]).lines.length, 0);
});
