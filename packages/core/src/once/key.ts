/**
 * Text form of idempotency keys.
 *
 * An issued key reads `eg1.HOST.INCARNATION.ISSUED.LIFETIME.OWN`: the host id percent-encoded, three numbers in base 36
 * and the part that the caller appends. Any other text is a plain key.
 */

import {Err, Ok, type Result} from 'ts-results-es';
import {issuedKeyMark, maxKeyLength} from './constants.ts';
import type {IdempotencyKey, IssuedKey} from './types.ts';

const radix = 36;
const visibleAscii = /^[\u0021-\u007E]+$/v;
const base36 = /^[\da-z]{1,11}$/v;
const separator = '.';
const fixedParts = 5;

/** What an issued key says before the caller's own part. */
export type IssuedKeyFields = Pick<IssuedKey, 'hostId' | 'incarnation' | 'issuedAtMs' | 'lifetimeMs'>;

const encodeHostId = (hostId: string): string => encodeURIComponent(hostId).replaceAll(separator, '%2E');

const encodeNumber = (value: number): string => Math.max(0, Math.floor(value)).toString(radix);

const decodeHostId = (text: string): string | undefined => {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
};

const decodeNumber = (text: string): number | undefined => {
	if (!base36.test(text)) {
		return undefined;
	}

	const value = Number.parseInt(text, radix);
	return Number.isSafeInteger(value) ? value : undefined;
};

/** Writes the prefix of an issued key; the caller appends a part that is unique among its own requests. */
export const formatKeyPrefix = (issue: IssuedKeyFields): string => [
	issuedKeyMark,
	encodeHostId(issue.hostId),
	encodeNumber(issue.incarnation),
	encodeNumber(issue.issuedAtMs),
	encodeNumber(issue.lifetimeMs),
	'',
].join(separator);

const parseIssuedKey = (text: string): Result<IssuedKey, 'key-malformed'> => {
	const parts = text.split(separator);
	const own = parts.slice(fixedParts).join(separator);
	const hostId = decodeHostId(parts[1] ?? '');
	const [incarnation, issuedAtMs, lifetimeMs] = parts.slice(2, fixedParts).map(part => decodeNumber(part));
	if (!hostId || incarnation === undefined || issuedAtMs === undefined || lifetimeMs === undefined || own === '') {
		return Err('key-malformed');
	}

	const issue = {
		hostId, incarnation, issuedAtMs, lifetimeMs,
	};
	// One spelling for each key: a second spelling would be remembered as a second key.
	if (formatKeyPrefix(issue) + own !== text) {
		return Err('key-malformed');
	}

	return Ok({type: 'issued', text, ...issue});
};

/** Reads an idempotency key; text that looks issued but doesn't read as such is malformed. */
export const parseKey = (text: string): Result<IdempotencyKey, 'key-malformed'> => {
	if (text.length > maxKeyLength || !visibleAscii.test(text)) {
		return Err('key-malformed');
	}

	if (text.startsWith(issuedKeyMark + separator)) {
		return parseIssuedKey(text);
	}

	return Ok({type: 'plain', text});
};
