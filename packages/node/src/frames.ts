/**
 * Frames between the processes of the fleet: a 4-byte big-endian length, then a `cbor-x` value.
 *
 * A frame larger than the limit is refused before anything is decoded.
 */

import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {Err, Ok, type Result} from 'ts-results-es';

const lengthBytes = 4;

/** Largest frame that is accepted, in bytes. */
export const maxFrameBytes = 8_388_608;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** Encodes a value as `cbor-x` without a length. */
export const encodeValue = (value: unknown): Buffer => encoder.encode(value);

/** Decodes a value encoded by `encodeValue`. */
export const decodeValue = (bytes: Uint8Array): Result<unknown, 'undecodable'> => {
	try {
		return Ok(decoder.decode(bytes) as unknown);
	} catch {
		return Err('undecodable');
	}
};

/** Puts the length before `payload`. */
export const encodeFrame = (payload: Uint8Array): Buffer => {
	const frame = Buffer.allocUnsafe(lengthBytes + payload.length);
	frame.writeUInt32BE(payload.length, 0);
	frame.set(payload, lengthBytes);
	return frame;
};

/** Why a stream of frames can't be read on. */
export type FrameError = 'frame-too-large';

/** Cuts a stream of bytes into frames. */
export type FrameReader = {
	/** Takes the next bytes of the stream and returns the payloads that became whole. */
	readonly push: (bytes: Uint8Array) => Result<readonly Buffer[], FrameError>;
	/** True when a frame has begun and is not whole. */
	readonly isMidway: () => boolean;
};

/** Creates a reader that refuses frames of more than `limitBytes`. */
export const createFrameReader = (limitBytes = maxFrameBytes): FrameReader => {
	/** What arrived and makes no whole frame yet; joined only once it does, so that the cost does not grow with the square of the frame. */
	let parts: Buffer[] = [];
	let waitingBytes = 0;
	/** Bytes without which nothing more can be read. */
	let neededBytes = lengthBytes;

	return {
		isMidway: () => waitingBytes > 0,
		push(bytes) {
			parts.push(Buffer.from(bytes));
			waitingBytes += bytes.length;
			if (waitingBytes < neededBytes) {
				return Ok([]);
			}

			let pending = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
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

			parts = pending.length === 0 ? [] : [pending];
			waitingBytes = pending.length;
			return Ok(payloads);
		},
	};
};
