/** Identifies a request across its resends. */

import {hashText} from '../random.ts';

/** What makes two requests the same. */
export type FingerprintParts = {
	readonly service: string;
	readonly method: string;
	/** Path with its query. */
	readonly target: string;
	/** Idempotency key; stands for the body when there is one. */
	readonly key?: string | undefined;
	/** Digest of the body, or of as much of it as was read before the request is sent. */
	readonly bodyDigest?: string | undefined;
};

const hexDigits = 8;

const toHex = (hash: number): string => hash.toString(16).padStart(hexDigits, '0');

/** Creates a fingerprint of fixed length. */
export const createFingerprint = ({service, method, target, key, bodyDigest}: FingerprintParts): string => {
	const text = JSON.stringify([service, method, target, key ?? null, key === undefined ? bodyDigest ?? null : null]);
	return toHex(hashText(text)) + toHex(hashText(`${text}${text.length}`));
};
