/** Canonical texts of records: equal records have equal texts, whatever the order of their fields. */

/** A record as written, before validation. */
export type RecordText = {
	/** Kind and name. A removal has the key of the record that it removes. */
	readonly key: string;
	readonly revision: number;
	/** JSON with sorted keys. */
	readonly text: string;
};

/** Longest kind or name that is accepted. */
const maxNameLength = 256;

/** Longest text that is accepted: the largest value that the configuration service holds. */
const maxTextLength = 1_048_576;

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const sortKeys = (_key: string, value: unknown): unknown => {
	if (!isObject(value)) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => left < right ? -1 : 1));
};

const canonicalText = (value: unknown): string | undefined => {
	try {
		return JSON.stringify(value, sortKeys);
	} catch {
		return undefined;
	}
};

const isValidName = (value: unknown): value is string =>
	typeof value === 'string' && value.length > 0 && value.length <= maxNameLength;

/** Reads the key and revision of a record without validating the rest; undefined when these are invalid or the text is too long. */
export const readRecord = (written: unknown): RecordText | undefined => {
	if (!isObject(written)) {
		return undefined;
	}

	const kind = written.kind === 'removed' ? written.removedKind : written.kind;
	const {name, revision} = written;
	if (!isValidName(kind) || !isValidName(name) || typeof revision !== 'number') {
		return undefined;
	}

	if (!Number.isSafeInteger(revision) || revision < 1) {
		return undefined;
	}

	const text = canonicalText(written);
	if (text === undefined || text.length > maxTextLength) {
		return undefined;
	}

	return {key: `${kind}/${name}`, revision, text};
};
