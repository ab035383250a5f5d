import t from 'tap';
import {createMetrics, formatRecord} from './index.js';

// Guards against a value with spaces or line breaks that splits one event over several lines or keys.
await t.test('a log line stays one line', async (t) => {
	const line = formatRecord({time: new Date(0), level: 30, msg: 'refused', reason: 'no "free"\nslot'});
	t.equal(line, String.raw`time=1970-01-01T00:00:00.000Z level=info event=refused reason="no \"free\"\nslot"`);
});

// Guards against histograms that mix customers.
await t.test('histograms are kept for each label set', async (t) => {
	const metrics = createMetrics();
	metrics.observe('request_milliseconds', 10, {customer: 'a'});
	metrics.observe('request_milliseconds', 1000, {customer: 'b'});
	const text = metrics.render();
	t.ok(text.includes('request_milliseconds{customer="a",quantile="0.5"} 10'));
	t.ok(text.includes('request_milliseconds_count{customer="b"} 1'));
});

// Guards against memory that grows with labels from callers.
await t.test('series per metric are bounded', async (t) => {
	const metrics = createMetrics();
	for (let index = 0; index < 3000; index += 1) {
		metrics.count('requests_total', {customer: `c${index}`});
	}

	t.equal(metrics.read('requests_total', {overflow: 'true'}), 1000);
});
