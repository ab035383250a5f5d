import {build, type Histogram} from 'hdr-histogram-js';
import {
	HISTOGRAM_MAX_MICROSECONDS,
	HISTOGRAM_QUANTILES,
	HISTOGRAM_SIGNIFICANT_DIGITS,
	MAX_SERIES_PER_METRIC,
} from './constants.js';
import type {MetricLabels, Metrics} from './types.js';

type Summary = Readonly<{histogram: Histogram; total: {milliseconds: number}}>;

const escapeLabel = (value: string): string =>
	value
		.replaceAll('\\', '\\\\')
		.replaceAll('"', String.raw`\"`)
		.replaceAll('\n', String.raw`\n`);

const formatLabels = (labels: MetricLabels): string => {
	const pairs = Object.entries(labels)
		.toSorted(([a], [b]) => a.localeCompare(b))
		.map(([key, value]) => `${key}="${escapeLabel(value)}"`);
	return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
};

const withLabel = (formatted: string, label: string): string =>
	formatted === '' ? `{${label}}` : `${formatted.slice(0, -1)},${label}}`;

const createSummary = (): Summary => ({
	histogram: build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: HISTOGRAM_MAX_MICROSECONDS,
		numberOfSignificantValueDigits: HISTOGRAM_SIGNIFICANT_DIGITS,
	}),
	total: {milliseconds: 0},
});

const seriesOf = <Value>(family: Map<string, Map<string, Value>>, name: string): Map<string, Value> => {
	let series = family.get(name);
	if (!series) {
		series = new Map();
		family.set(name, series);
	}

	return series;
};

const seriesKey = (series: ReadonlyMap<string, unknown>, labels: MetricLabels | undefined): string => {
	const key = formatLabels(labels ?? {});
	return series.has(key) || series.size < MAX_SERIES_PER_METRIC ? key : '{overflow="true"}';
};

const renderSummary = (name: string, labels: string, {histogram, total}: Summary): string[] => [
	...HISTOGRAM_QUANTILES.map(
		(quantile) =>
			`${name}${withLabel(labels, `quantile="${quantile}"`)} ${histogram.getValueAtPercentile(quantile * 100) / 1000}`,
	),
	`${name}_sum${labels} ${total.milliseconds}`,
	`${name}_count${labels} ${histogram.totalCount}`,
];

/**
Creates the metrics of one process.

@example
```ts
const metrics = createMetrics();
metrics.observe('request_milliseconds', 12.5, {customer: 'acme', class: 'normal'});
response.send(metrics.render());
```
*/
export const createMetrics = (): Metrics => {
	const counters = new Map<string, Map<string, number>>();
	const gauges = new Map<string, Map<string, number>>();
	const summaries = new Map<string, Map<string, Summary>>();

	return {
		count(name, labels, by = 1) {
			const series = seriesOf(counters, name);
			const key = seriesKey(series, labels);
			series.set(key, (series.get(key) ?? 0) + by);
		},
		gauge(name, value, labels) {
			const series = seriesOf(gauges, name);
			series.set(seriesKey(series, labels), value);
		},
		observe(name, milliseconds, labels) {
			const series = seriesOf(summaries, name);
			const key = seriesKey(series, labels);
			let summary = series.get(key);
			if (!summary) {
				summary = createSummary();
				series.set(key, summary);
			}

			summary.total.milliseconds += milliseconds;
			summary.histogram.recordValue(Math.min(HISTOGRAM_MAX_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000))));
		},
		read(name, labels) {
			const key = formatLabels(labels ?? {});
			return counters.get(name)?.get(key) ?? gauges.get(name)?.get(key) ?? 0;
		},
		render() {
			const lines: string[] = [];
			for (const [type, family] of [
				['counter', counters],
				['gauge', gauges],
			] as const) {
				for (const [name, series] of family) {
					lines.push(`# TYPE ${name} ${type}`, ...[...series].map(([labels, value]) => `${name}${labels} ${value}`));
				}
			}

			for (const [name, series] of summaries) {
				lines.push(
					`# TYPE ${name} summary`,
					...[...series].flatMap(([labels, summary]) => renderSummary(name, labels, summary)),
				);
			}

			return `${lines.join('\n')}\n`;
		},
	};
};
