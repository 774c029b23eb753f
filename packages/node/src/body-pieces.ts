/** Keeps the pieces of a body. Small ones are copied together, since each piece costs far more than a few bytes. */

import {Buffer} from 'node:buffer';

/** A piece of this size or more is kept as it is, in bytes. */
export const minOwnPieceBytes = 1024;

/** Size of the blocks into which smaller pieces are copied, in bytes. */
const blockBytes = 4096;

/** A piece that is kept. */
export type KeptPiece = {
	readonly bytes: Buffer;
	/** Memory that was reserved for it, in bytes. */
	readonly reservedBytes: number;
};

/** Pieces of a body that is being read. */
export type BodyPieces = {
	/** Adds a piece; false, and nothing is kept of it, when there is no memory for it. */
	readonly add: (piece: Buffer) => boolean;
	/** Removes the first piece and returns it; undefined when there is none. */
	readonly shift: () => KeptPiece | undefined;
	/** Removes all pieces and returns them in their order. */
	readonly take: () => readonly Buffer[];
};

/** The piece, or a copy where it is a small part of the bytes that it was read with, which it would keep in memory. */
const detach = (piece: Buffer): Buffer => {
	const readBytes = piece.buffer.byteLength;
	if (readBytes <= blockBytes || readBytes <= piece.length * 2) {
		return piece;
	}

	const copy = Buffer.allocUnsafeSlow(piece.length);
	piece.copy(copy);
	return copy;
};

/** Creates an empty body; `reserve` takes memory for what is kept. */
export const createBodyPieces = (reserve: (sizeBytes: number) => boolean): BodyPieces => {
	let kept: KeptPiece[] = [];
	let block: Buffer | undefined;
	let usedBytes = 0;
	let isLastSmall = false;

	const closeBlock = (): void => {
		if (block !== undefined) {
			kept.push({bytes: block.subarray(0, usedBytes), reservedBytes: blockBytes});
			block = undefined;
			usedBytes = 0;
		}
	};

	return {
		add(piece) {
			const isSmall = piece.length < minOwnPieceBytes;
			if (!isSmall || !isLastSmall) {
				if (!reserve(piece.length)) {
					return false;
				}

				closeBlock();
				kept.push({bytes: detach(piece), reservedBytes: piece.length});
				isLastSmall = isSmall;
				return true;
			}

			if (block === undefined || usedBytes + piece.length > blockBytes) {
				if (!reserve(blockBytes)) {
					return false;
				}

				closeBlock();
				block = Buffer.allocUnsafeSlow(blockBytes);
			}

			piece.copy(block, usedBytes);
			usedBytes += piece.length;
			return true;
		},
		shift() {
			if (kept.length === 0) {
				closeBlock();
			}

			return kept.shift();
		},
		take() {
			closeBlock();
			const taken = kept.map(({bytes}) => bytes);
			kept = [];
			return taken;
		},
	};
};
