import type {UnitName} from './types.js';

/** Key of one part of a job: a unit, or all units of a gang. */
export const partKey = (occurrence: number, step: number, index: number | 'gang'): string =>
	`${occurrence}.${step}.${index}`;

/** Occurrence in the key of a part. */
export const occurrenceOfKey = (key: string): number => Number(key.split('.', 1)[0]);

/**
Formats the name of a unit.

@example
```ts
formatUnitName({jobId: '5c0e7a21d94b36f8', occurrence: 0, step: 1, index: 17}); // '5c0e7a21d94b36f8.0.1.17'
```
*/
export const formatUnitName = ({jobId, occurrence, step, index}: UnitName): string =>
	`${jobId}.${occurrence}.${step}.${index}`;

/**
Parses the name of a unit; `undefined` when the text is not a unit name.

@example
```ts
parseUnitName('5c0e7a21d94b36f8.0.1.17')?.index; // 17
```
*/
export const parseUnitName = (text: string): UnitName | undefined => {
	const match = /^(?<jobId>[^.]+)\.(?<occurrence>\d+)\.(?<step>\d+)\.(?<index>\d+)$/v.exec(text);
	if (!match?.groups) {
		return undefined;
	}

	const {jobId = '', occurrence, step, index} = match.groups;
	return {jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index)};
};
