const MAX_DESCRIPTION_LENGTH = 80;

/** Formats a value as shortened JSON for an error message. */
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

// An operator may put a plaintext token where its hash belongs, or under an unknown key.
const SECRET_KEY = /sha256|token|secret|password/iv;

/** Formats the value at a path for an error message. A value that may be a token is replaced by its length. */
export const describeField = (path: readonly PropertyKey[], value: unknown): string => {
	const isSecret = path.some((key) => typeof key === 'string' && SECRET_KEY.test(key) && key !== 'tokens');
	return isSecret && value !== undefined
		? `(not shown, ${describeValue(value).length} characters)`
		: describeValue(value);
};

/** Formats a line of a file for an error message. A line that may contain a token is not shown. */
export const describeLine = (line: string): string => (SECRET_KEY.test(line) ? '(not shown)' : describeValue(line));

/** Returns the value at a path inside another value, or `undefined` where the path does not exist. */
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
