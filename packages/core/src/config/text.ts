/** The canonical text of a record as written: equal records have equal texts, whatever the order of their fields. */

/** A record as written, before it is checked. */
export type RecordText = {
	/** Kind and name; a removed record has the key of what it removes. */
	readonly key: string;
	readonly revision: number;
	/** JSON with sorted keys. */
	readonly text: string;
};

/** Longest kind or name that is read. */
const maxNameLength = 256;

/** Longest text that is kept; the service holds values up to this size. */
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

const isName = (value: unknown): value is string =>
	typeof value === 'string' && value.length > 0 && value.length <= maxNameLength;

/** Reads key and revision of a record without checking the rest; undefined when they can't be read. */
export const readRecord = (written: unknown): RecordText | undefined => {
	if (!isObject(written)) {
		return undefined;
	}

	const kind = written.kind === 'removed' ? written.removedKind : written.kind;
	const {name, revision} = written;
	if (!isName(kind) || !isName(name) || typeof revision !== 'number') {
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
