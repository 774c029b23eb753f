/**
 * Frames between the processes of the fleet: a 4-byte big-endian length, followed by a `cbor-x` value.
 *
 * A frame larger than the limit is rejected before anything is decoded.
 */

import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {Err, Ok, type Result} from 'ts-results-es';

const lengthBytes = 4;

/** Largest frame that is accepted, in bytes. */
export const maxFrameBytes = 8_388_608;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** Encodes a value as `cbor-x`, without a length prefix. */
export const encodeValue = (value: unknown): Buffer => encoder.encode(value);

/** Decodes a value encoded by `encodeValue`. */
export const decodeValue = (bytes: Uint8Array): Result<unknown, 'undecodable'> => {
	try {
		return Ok(decoder.decode(bytes) as unknown);
	} catch {
		return Err('undecodable');
	}
};

/** Prepends the length to `payload`. */
export const encodeFrame = (payload: Uint8Array): Buffer => {
	const frame = Buffer.allocUnsafe(lengthBytes + payload.length);
	frame.writeUInt32BE(payload.length, 0);
	frame.set(payload, lengthBytes);
	return frame;
};

/** Why reading a stream of frames failed. */
export type FrameError = 'frame-too-large';

/** Splits a stream of bytes into frames. */
export type FrameReader = {
	/** Consumes the next bytes of the stream and returns the payloads that they complete. */
	readonly push: (bytes: Uint8Array) => Result<readonly Buffer[], FrameError>;
	/** True if a part of a frame was received. */
	readonly hasPartialFrame: () => boolean;
};

/** Creates a reader that rejects frames whose payload is larger than `limitBytes`. */
export const createFrameReader = (limitBytes = maxFrameBytes): FrameReader => {
	/**
	 * Chunks of the incomplete frame; concatenated only once the next length or frame can be read, as doing so for each
	 * chunk takes quadratic time.
	 */
	let chunks: Buffer[] = [];
	let pendingBytes = 0;
	/** Number of pending bytes required before the next frame, or its length, can be read. */
	let neededBytes = lengthBytes;

	return {
		hasPartialFrame: () => pendingBytes > 0,
		push(bytes) {
			chunks.push(Buffer.from(bytes));
			pendingBytes += bytes.length;
			if (pendingBytes < neededBytes) {
				return Ok([]);
			}

			let pending = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			neededBytes = lengthBytes;
			const payloads: Buffer[] = [];
			while (pending.length >= lengthBytes) {
				const length = pending.readUInt32BE(0);
				if (length > limitBytes) {
					return Err('frame-too-large');
				}

				if (pending.length < lengthBytes + length) {
					neededBytes = lengthBytes + length;
					break;
				}

				payloads.push(pending.subarray(lengthBytes, lengthBytes + length));
				pending = pending.subarray(lengthBytes + length);
			}

			chunks = pending.length === 0 ? [] : [pending];
			pendingBytes = pending.length;
			return Ok(payloads);
		},
	};
};
