const MAX_DESCRIPTION_LENGTH = 80;

/** A value as it stands in a message. */
export const describeValue = (value: unknown): string => {
	let text: string;
	try {
		text = JSON.stringify(value) ?? 'not set';
	} catch {
		// A cyclic value or a big integer has no JSON form.
		text = typeof value;
	}

	return text.length > MAX_DESCRIPTION_LENGTH ? `${text.slice(0, MAX_DESCRIPTION_LENGTH - 3)}...` : text;
};

// A token in clear may stand where its hash belongs, or under a key of an operator's own invention.
const SECRET_KEY = /sha256|token|secret|password/iv;

/** A value as it stands in a message, with no more than its length where it may be a token. */
export const describeField = (path: readonly PropertyKey[], value: unknown): string => {
	const isSecret = path.some((key) => typeof key === 'string' && SECRET_KEY.test(key) && key !== 'tokens');
	return isSecret && value !== undefined
		? `(not shown, ${describeValue(value).length} characters)`
		: describeValue(value);
};

/** A line of a file as it stands in a message. */
export const describeLine = (line: string): string => (SECRET_KEY.test(line) ? '(not shown)' : describeValue(line));

/** The part of a value at a path. */
export const valueAt = (value: unknown, path: readonly PropertyKey[]): unknown => {
	let current = value;
	for (const key of path) {
		if (typeof current !== 'object' || current === null || !Object.hasOwn(current, key)) {
			return undefined;
		}

		current = (current as Record<PropertyKey, unknown>)[key];
	}

	return current;
};
