/** Deterministic bytes of recordings, so that either end knows the digest without having stored anything. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createRandom} from '@egretwing/core';

/** Size of the pieces that a recording is sent in. */
export const recordingChunkBytes = 65_536;

const byteRange = 256;

/** Yields the bytes of the recording of `totalBytes` made from `seed`. Each piece starts with its own number. */
export const recordingChunks = function * (totalBytes: number, seed: number): Generator<Buffer> {
	const random = createRandom(seed);
	const pattern = Buffer.alloc(recordingChunkBytes);
	for (let index = 0; index < pattern.length; index++) {
		pattern[index] = Math.floor(random.next() * byteRange);
	}

	let sentBytes = 0;
	for (let number = 0; sentBytes < totalBytes; number++) {
		const chunk = Buffer.from(pattern.subarray(0, Math.min(recordingChunkBytes, totalBytes - sentBytes)));
		if (chunk.length >= 4) {
			chunk.writeUInt32BE(number, 0);
		}

		sentBytes += chunk.length;
		yield chunk;
	}
};

/** The sha-256 in hex of a recording. */
export const recordingDigest = (totalBytes: number, seed: number): string => {
	const hash = createHash('sha256');
	for (const chunk of recordingChunks(totalBytes, seed)) {
		hash.update(chunk);
	}

	return hash.digest('hex');
};
