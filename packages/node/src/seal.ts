/**
 * Authenticates messages between hosts with an HMAC (SHA-256), so that only messages from hosts of the fleet are accepted.
 *
 * The first key signs; any of the keys verifies, so that keys can be rotated host by host.
 */

import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results-es';

const tagBytes = 16;

/** Adds authentication tags to payloads and verifies them. */
export type Sealer = {
	/** Prepends the tag to `payload`. */
	readonly seal: (payload: Uint8Array) => Buffer;
	/** Verifies the tag and returns the payload. */
	readonly open: (sealed: Uint8Array) => Result<Buffer, 'wrong-seal'>;
	/** Returns the tag of `text` in base64url, for HTTP headers. */
	readonly sign: (text: string) => string;
	readonly verify: (text: string, signature: string) => boolean;
};

const computeTag = (key: string, payload: Uint8Array): Buffer =>
	createHmac('sha256', key).update(payload).digest().subarray(0, tagBytes);

/** Creates a sealer from one or more keys. */
export const createSealer = (keys: readonly [string, ...string[]]): Sealer => ({
	seal: payload => Buffer.concat([computeTag(keys[0], payload), payload]),
	open(sealed) {
		if (sealed.length < tagBytes) {
			return Err('wrong-seal');
		}

		const bytes = Buffer.from(sealed.buffer, sealed.byteOffset, sealed.byteLength);
		const tag = bytes.subarray(0, tagBytes);
		const payload = bytes.subarray(tagBytes);
		const isAuthentic = keys.some(key => timingSafeEqual(computeTag(key, payload), tag));
		return isAuthentic ? Ok(payload) : Err('wrong-seal');
	},
	sign: text => computeTag(keys[0], Buffer.from(text)).toString('base64url'),
	verify(text, signature) {
		const tag = Buffer.from(signature, 'base64url');
		return tag.length === tagBytes && keys.some(key => timingSafeEqual(computeTag(key, Buffer.from(text)), tag));
	},
});
