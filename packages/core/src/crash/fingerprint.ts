/** Fingerprints, which identify a request across resends. */

import {hashText} from '../random.ts';

/** Properties in which two requests must agree to count as the same. */
export type FingerprintParts = {
	readonly service: string;
	readonly method: string;
	/** Path with its query. */
	readonly target: string;
	/** Idempotency key; used instead of the body digest if present. */
	readonly key?: string | undefined;
	/** Digest of the body, or of the part of it that was read before the request is sent. */
	readonly bodyDigest?: string | undefined;
};

const hexDigits = 8;

const toHex = (hash: number): string => hash.toString(16).padStart(hexDigits, '0');

/** Creates a fingerprint of 16 hexadecimal digits. */
export const createFingerprint = ({service, method, target, key, bodyDigest}: FingerprintParts): string => {
	const text = JSON.stringify([service, method, target, key ?? null, key === undefined ? bodyDigest ?? null : null]);
	return toHex(hashText(text)) + toHex(hashText(`${text}${text.length}`));
};
