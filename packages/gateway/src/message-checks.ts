/**
 * Checks the decoded parts of messages between gateways, before any of them reaches the state of this one: a value of another
 * type or range would fail later, in a timer, and be passed on to the other gateways.
 */

import net from 'node:net';

/** Whether a decoded value has the form that its place in a message demands. */
export type Check = (value: unknown) => boolean;

const maxPort = 65_535;

/** Highest incarnation that is accepted: far above any clock, and low enough to be raised. */
const maxIncarnation = 1e15;

/** Longest span of time in a message, in milliseconds: years, so that sums with a time stay exact. */
const maxSpanMs = 1e12;

/** Whether the value is a finite number. */
export const isNumber: Check = value => typeof value === 'number' && Number.isFinite(value);

/** Whether the value is an integer that sums keep exact. */
export const isInteger: Check = value => Number.isSafeInteger(value);

/** Whether the value is true or false. */
export const isFlag: Check = value => typeof value === 'boolean';

/** Whether the value is text. */
export const isText: Check = value => typeof value === 'string';

/** Whether the value can name a host, an instance or a service. */
export const isName: Check = value => typeof value === 'string' && value !== '';

/** Whether the value can be the IP address of a host or an instance. */
export const isAddress: Check = value => typeof value === 'string' && net.isIPv4(value);

/** Whether the value can be a port to connect to. */
export const isPort: Check = value => Number.isInteger(value) && (value as number) >= 1 && (value as number) <= maxPort;

/** Whether the value is a span of time, or the age of something. */
export const isSpanMs: Check = value => isNumber(value) && (value as number) >= 0 && (value as number) <= maxSpanMs;

/** Whether the value can be an incarnation. */
export const isIncarnation: Check = value => isInteger(value) && (value as number) >= 0 && (value as number) <= maxIncarnation;

/** Whether the value is a number above 0. */
export const isPositive: Check = value => isNumber(value) && (value as number) > 0;

/** Whether the value is a number of 0 or more. */
export const isNotNegative: Check = value => isNumber(value) && (value as number) >= 0;

/** Whether the value is an integer above 0. */
export const isCount: Check = value => isInteger(value) && (value as number) > 0;

/** Whether the value is a sequence of bytes. */
export const isBytes: Check = value => value instanceof Uint8Array;

/** Checks that a value is one of some words. */
export const isOneOf = (...words: readonly string[]): Check => {
	const known: ReadonlySet<unknown> = new Set(words);
	return value => known.has(value);
};

/** Also accepts null. */
export const orNull = (check: Check): Check => value => value === null || check(value);

/** Also accepts an absent value. */
export const optional = (check: Check): Check => value => value === undefined || check(value);

/** Checks that a value is a list, and each of its items. */
export const isListOf = (check: Check): Check => value => {
	if (!Array.isArray(value)) {
		return false;
	}

	// A method of lists would pass over items that are missing.
	for (const item of value as readonly unknown[]) {
		if (!check(item)) {
			return false;
		}
	}

	return true;
};

/** Checks that a value is a list with an item for each of `checks`; later ones may follow in a newer version. */
export const isRow = (...checks: readonly Check[]): Check => value => Array.isArray(value) && checks.every((check, index) => check((value as readonly unknown[])[index]));

/** Checks the fields of an object; others may be there in a newer version. */
export const isRecord = (checks: Readonly<Record<string, Check>>): Check => {
	const fields = Object.entries(checks);
	return value => typeof value === 'object' && value !== null && fields.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]));
};

/** Checks an object by the word in its field `type`; objects of an unknown type are refused. */
export const isVariant = (checksByType: Readonly<Record<string, Check>>): Check => {
	const checks = new Map(Object.entries(checksByType));
	return value => typeof value === 'object' && value !== null && checks.get((value as {readonly type?: string}).type ?? '')?.(value) === true;
};
