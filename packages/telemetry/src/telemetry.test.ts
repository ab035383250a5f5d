import t from 'tap';
import {createMetrics, formatRecord} from './index.js';

// Guards against a value with spaces or line breaks that splits one event into several lines or keys.
await t.test('a value with spaces and line breaks stays in one log line', async (t) => {
	const line = formatRecord({time: new Date(0), level: 30, msg: 'refused', reason: 'no "free"\nslot'});
	t.equal(line, String.raw`time=1970-01-01T00:00:00.000Z level=info event=refused reason="no \"free\"\nslot"`);
});

// Guards against histograms that combine the durations of different customers.
await t.test('each label set has its own histogram', async (t) => {
	const metrics = createMetrics();
	metrics.observe('request_milliseconds', 10, {customer: 'a'});
	metrics.observe('request_milliseconds', 1000, {customer: 'b'});
	const text = metrics.render();
	t.ok(text.includes('request_milliseconds{customer="a",quantile="0.5"} 10'));
	t.ok(text.includes('request_milliseconds_count{customer="b"} 1'));
});

// Guards against memory growth with the labels that callers supply.
await t.test('the number of series per metric is bounded', async (t) => {
	const metrics = createMetrics();
	for (let index = 0; index < 3000; index += 1) {
		metrics.count('requests_total', {customer: `c${index}`});
	}

	t.equal(metrics.read('requests_total', {overflow: 'true'}), 1000);
});
