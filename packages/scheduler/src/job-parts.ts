import {partKey, type PartRecord, type Progress} from '@bergamotgauge/jobs';
import type {ActiveJob, Part} from './active-job.js';
import {OPEN_UNITS_AT_FIRST} from './constants.js';

/**
Units of one step and occurrence that have no part yet. A part takes about a kilobyte, so those of a large step are created only when they may start soon.
*/
export type UnopenedUnits = Readonly<{occurrence: number; step: number; next: number; count: number}>;

const unopenedKey = (occurrence: number, step: number): string => `${occurrence}.${step}`;

const NONE: ReadonlySet<never> = new Set();

/** Records of older versions hold the latest failed run only. */
const failedRunsOf = (record: PartRecord | undefined): ReadonlySet<number> => {
	const runs = record?.failedRuns ?? [record?.failedRun ?? 0].filter((run) => run > 0);
	return runs.length > 0 ? new Set(runs) : NONE;
};

const createPart = (
	identity: Pick<Part, 'key' | 'occurrence' | 'step' | 'indexes'>,
	record: PartRecord | undefined,
): Part => ({
	...identity,
	isDone: record?.isDone ?? false,
	doneMs: undefined,
	failures: record?.failures ?? 0,
	run: record?.run ?? 0,
	failedRuns: failedRunsOf(record),
	endedRuns: undefined,
	orderedRun: record?.run ?? 0,
	checkpoint: record?.checkpoint ?? '',
	placements: [],
	waitingSinceMs: undefined,
	avoided: NONE,
	stalls: 0,
	slowRestarts: 0,
	crashes: record?.crashes ?? [],
	trialRun: record?.trialRun ?? 0,
	pausedUntilMs: 0,
});

/** Creates the part of a unit, or of a gang, unless it exists. */
const openPart = (
	{parts, settledParts, job}: ActiveJob,
	{occurrence, step, index}: Readonly<{occurrence: number; step: number; index: number}>,
	record?: PartRecord,
): Part => {
	const {gang, count} = job.steps[step]!;
	const key = partKey(occurrence, step, gang ? 'gang' : index);
	const known = parts.get(key) ?? settledParts.get(key);
	if (known) {
		return known;
	}

	const indexes = gang ? Array.from({length: count}, (_value, member) => member) : [index];
	const part = createPart({key, occurrence, step, indexes}, record);
	(part.isDone ? settledParts : parts).set(key, part);
	return part;
};

/** Creates up to `limit` parts for the units; returns how many it has created. */
const openUnits = (activeJob: ActiveJob, {occurrence, step, next, count}: UnopenedUnits, limit: number): number => {
	const {parts, settledParts, unopened, job} = activeJob;
	const {gang} = job.steps[step]!;
	const before = parts.size;
	let index = next;
	const isKnown = (key: string): boolean => parts.has(key) || settledParts.has(key);
	while (index < count && (parts.size - before < limit || isKnown(partKey(occurrence, step, gang ? 'gang' : index)))) {
		openPart(activeJob, {occurrence, step, index});
		index += 1;
	}

	if (index < count) {
		unopened.set(unopenedKey(occurrence, step), {occurrence, step, next: index, count});
	} else {
		unopened.delete(unopenedKey(occurrence, step));
	}

	return parts.size - before;
};

/**
Adds the next occurrence with the parts of its records, gangs, units that run until they are stopped, whose absence counts, and the first few of the other units.
*/
export const addOccurrence = (activeJob: ActiveJob, progress?: Progress): void => {
	const occurrence = activeJob.occurrences;
	activeJob.occurrences += 1;
	const records = progress?.parts;
	for (const [step, {count, gang, longRunning}] of activeJob.job.steps.entries()) {
		const units = gang ? 1 : count;
		for (let index = 0; index < units; index += 1) {
			const record = records?.[partKey(occurrence, step, gang ? 'gang' : index)];
			if (record) {
				openPart(activeJob, {occurrence, step, index}, record);
			}
		}

		const limit = gang || longRunning ? units : OPEN_UNITS_AT_FIRST - activeJob.parts.size;
		openUnits(activeJob, {occurrence, step, next: 0, count: units}, Math.max(0, limit));
	}
};

/** Sets parts that are done and placed nowhere apart. */
export const settleParts = ({parts, settledParts}: ActiveJob): void => {
	for (const [key, part] of parts) {
		if (part.isDone && part.placements.length === 0) {
			parts.delete(key);
			settledParts.set(key, part);
		}
	}
};

/** The part of a unit of an occurrence that has been added; creates it if the unit is unopened. A settled part is no longer set apart, since its unit may be placed again by a late report. */
export const findPart = (activeJob: ActiveJob, occurrence: number, step: number, index: number): Part | undefined => {
	const {gang, count} = activeJob.job.steps[step] ?? {gang: false, count: 0};
	const key = partKey(occurrence, step, gang ? 'gang' : index);
	const settled = activeJob.settledParts.get(key);
	if (settled) {
		activeJob.settledParts.delete(key);
		activeJob.parts.set(key, settled);
	}

	const known = activeJob.parts.get(key);
	const units = activeJob.unopened.get(unopenedKey(occurrence, step));
	if (known !== undefined || units === undefined || index >= count) {
		return known;
	}

	const part = openPart(activeJob, {occurrence, step, index});
	// The last unopened unit may have been this one.
	openUnits(activeJob, units, 0);
	return part;
};

/** Whether units of the step have no part yet. */
export const hasUnopened = ({unopened}: ActiveJob, occurrence: number, step: number): boolean =>
	unopened.has(unopenedKey(occurrence, step));

/** Opens up to `limit` units of steps that may start; returns how many parts it has created. */
export const openReadyUnits = (
	activeJob: ActiveJob,
	limit: number,
	mayStart: (occurrence: number, step: number) => boolean,
): number => {
	let opened = 0;
	for (const units of activeJob.unopened.values()) {
		if (opened < limit && mayStart(units.occurrence, units.step)) {
			opened += openUnits(activeJob, units, limit - opened);
		}
	}

	return opened;
};
