/** Keeps the pieces of a body. Small ones are copied together, since each piece costs far more than a few bytes. */

import {Buffer} from 'node:buffer';

/** A piece of this size or more is kept as it is, in bytes. */
const minOwnPieceBytes = 1024;

/** Size of the blocks into which smaller pieces are copied, in bytes. */
const blockBytes = 4096;

/** Pieces of a body that is being read. */
export type BodyPieces = {
	/** Adds a piece; false, and nothing is kept of it, when there is no memory for it. */
	readonly add: (piece: Buffer) => boolean;
	/** All pieces in their order; to be called once, at the end. */
	readonly take: () => readonly Buffer[];
};

/** Creates an empty body; `reserve` takes memory for what is kept. */
export const createBodyPieces = (reserve: (sizeBytes: number) => boolean): BodyPieces => {
	let kept: Buffer[] = [];
	let block: Buffer | undefined;
	let usedBytes = 0;
	let isLastSmall = false;

	const closeBlock = (): void => {
		if (block !== undefined) {
			kept.push(block.subarray(0, usedBytes));
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
				kept.push(piece);
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
		take() {
			closeBlock();
			const taken = kept;
			kept = [];
			return taken;
		},
	};
};
