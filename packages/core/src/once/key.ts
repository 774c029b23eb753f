/**
 * Text format of idempotency keys.
 *
 * An issued key has the format `eg1.HOST.INCARNATION.ISSUED.LIFETIME.OWN`: the percent-encoded host id, three numbers in
 * base 36 and the part that the caller appends. Any other text is a plain key.
 */

import {Err, Ok, type Result} from 'ts-results-es';
import {issuedKeyMark, maxKeyLength} from './constants.ts';
import type {IdempotencyKey, IssuedKey} from './types.ts';

const radix = 36;
const visibleAscii = /^[\u0021-\u007E]+$/v;
const base36 = /^[\da-z]{1,11}$/v;
const separator = '.';
const fixedParts = 5;

/** Fields encoded in the prefix of an issued key. */
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

/** Formats the prefix of an issued key; the caller appends a part that is unique among its own requests. */
export const formatKeyPrefix = (fields: IssuedKeyFields): string => [
	issuedKeyMark,
	encodeHostId(fields.hostId),
	encodeNumber(fields.incarnation),
	encodeNumber(fields.issuedAtMs),
	encodeNumber(fields.lifetimeMs),
	'',
].join(separator);

const parseIssuedKey = (text: string): Result<IssuedKey, 'key-malformed'> => {
	const parts = text.split(separator);
	const callerPart = parts.slice(fixedParts).join(separator);
	const hostId = decodeHostId(parts[1] ?? '');
	const [incarnation, issuedAtMs, lifetimeMs] = parts.slice(2, fixedParts).map(part => decodeNumber(part));
	if (!hostId || incarnation === undefined || issuedAtMs === undefined || lifetimeMs === undefined || callerPart === '') {
		return Err('key-malformed');
	}

	const fields = {
		hostId, incarnation, issuedAtMs, lifetimeMs,
	};
	// Only the canonical form is accepted: another spelling would be stored as a different key.
	if (formatKeyPrefix(fields) + callerPart !== text) {
		return Err('key-malformed');
	}

	return Ok({type: 'issued', text, ...fields});
};

/** Parses an idempotency key; text with the prefix of issued keys that doesn't parse as one is malformed. */
export const parseKey = (text: string): Result<IdempotencyKey, 'key-malformed'> => {
	if (text.length > maxKeyLength || !visibleAscii.test(text)) {
		return Err('key-malformed');
	}

	if (text.startsWith(issuedKeyMark + separator)) {
		return parseIssuedKey(text);
	}

	return Ok({type: 'plain', text});
};
