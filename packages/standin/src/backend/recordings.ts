/** Deterministic bytes of recordings, so that both ends can compute the digest without storing the content. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createRandom} from '@egretwing/core';

/** Size of the chunks that a recording is sent in. */
export const recordingChunkBytes = 65_536;

const byteRange = 256;

/** Yields the recording of `totalBytes` generated from `seed`. Each chunk of at least 4 bytes starts with its number. */
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

/** SHA-256 of a recording, in hex. */
export const recordingDigest = (totalBytes: number, seed: number): string => {
	const hash = createHash('sha256');
	for (const chunk of recordingChunks(totalBytes, seed)) {
		hash.update(chunk);
	}

	return hash.digest('hex');
};
