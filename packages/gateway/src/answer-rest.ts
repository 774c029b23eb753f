/**
 * Takes the rest of a large answer off an instance's hands, and passes it on at the speed of its caller.
 *
 * Load pattern: callers read large answers slowly. An instance cuts off an answer that stays unread for some seconds, and holds
 * its bytes meanwhile. Here the bytes are held as long as they count little towards what the process may hold; beyond that the
 * instance is read at the speed of the caller.
 */

import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import process from 'node:process';
import {Readable} from 'node:stream';
import type {MemoryBudget, MemoryLease} from '@egretwing/core';
import {createBodyPieces} from '@egretwing/node';
import type {AnswerFlow} from './answer-flow.ts';
import {maxHeldRestBytes, maxHeldRestShare, maxHeldShareForRests} from './constants.ts';

/** Room is taken in units of this size, in bytes: four times what counts as small, so that it never comes out of the part for small requests. */
const roomBytes = 262_144;

/** Memory that a piece takes beside its bytes. */
const pieceOverheadBytes = 256;

/** The room that the pieces of one answer take up. */
type Room = {
	/** Whether there is room for a further piece. */
	readonly isLeft: () => boolean;
	readonly add: (sizeBytes: number) => void;
	readonly remove: (sizeBytes: number) => void;
	readonly release: () => void;
};

const createRoom = (memory: MemoryBudget): Room => {
	const maxBytes = Math.min(maxHeldRestBytes, memory.limitBytes * maxHeldRestShare);
	const leases: MemoryLease[] = [];
	let usedBytes = 0;
	return {
		isLeft() {
			if (usedBytes < leases.length * roomBytes) {
				return true;
			}

			const mayGrow = (leases.length + 1) * roomBytes <= maxBytes && memory.heldBytes() < memory.limitBytes * maxHeldShareForRests;
			const lease = mayGrow ? memory.open() : undefined;
			if (lease?.reserve(roomBytes) !== true) {
				return false;
			}

			leases.push(lease);
			return true;
		},
		add(sizeBytes) {
			usedBytes += sizeBytes + pieceOverheadBytes;
		},
		remove(sizeBytes) {
			usedBytes -= sizeBytes + pieceOverheadBytes;
			// One unit stays beyond the used ones, so that each piece does not take and return one.
			while (leases.length * roomBytes >= usedBytes + (2 * roomBytes)) {
				leases.pop()!.release();
			}
		},
		release() {
			for (const lease of leases.splice(0)) {
				lease.release();
			}

			usedBytes = 0;
		},
	};
};

/** Dependencies of the stream. */
export type AnswerRestOptions = {
	readonly flow: AnswerFlow;
	readonly memory: MemoryBudget;
	/** Whether the answer is complete, once it has ended. */
	readonly isComplete: () => boolean;
	/** A piece that was read before. */
	readonly first: Buffer | undefined;
};

/**
 * Streams what `source` has not delivered yet. Ends only if the answer was complete, and fails otherwise; what is held then is
 * dropped. Destroying it closes the connection of an incomplete answer.
 */
export const createAnswerRest = (source: http.IncomingMessage, {
	flow, memory, isComplete, first,
}: AnswerRestOptions): Readable => {
	const room = createRoom(memory);
	const held = createBodyPieces(sizeBytes => {
		room.add(sizeBytes);
		return true;
	});
	let isWanted = false;
	let isPassingOn = false;
	let isSourceWhole = false;

	const steer = (): void => {
		if (isWanted || room.isLeft()) {
			flow.resume();
		} else {
			flow.pause();
		}
	};

	const passOn = (): void => {
		isPassingOn = false;
		while (isWanted) {
			const piece = held.shift();
			if (piece === undefined) {
				break;
			}

			room.remove(piece.reservedBytes);
			isWanted = rest.push(piece.bytes);
		}

		if (isWanted && isSourceWhole) {
			isWanted = false;
			rest.push(null);
		}

		if (!isSourceWhole && !rest.destroyed) {
			steer();
		}
	};

	/** Passes pieces on once the whole read that holds them is parsed, so that small ones are joined before. */
	const schedulePassOn = (): void => {
		if (isWanted && !isPassingOn) {
			isPassingOn = true;
			process.nextTick(passOn);
		}
	};

	const rest = new Readable({
		read() {
			isWanted = true;
			schedulePassOn();
		},
		destroy(error, callback) {
			held.take();
			room.release();
			if (!isSourceWhole) {
				source.destroy();
			}

			callback(error);
		},
	});
	// It may fail while nobody reads it, when its caller waits for an earlier answer.
	rest.on('error', () => undefined);

	const hold = (piece: Buffer): void => {
		if (rest.destroyed) {
			return;
		}

		held.add(piece);
		schedulePassOn();
		steer();
	};

	if (first !== undefined) {
		hold(first);
	}

	source.on('data', hold);
	source.once('end', () => {
		if (!isComplete()) {
			rest.destroy(new Error('answer cut short'));
			return;
		}

		isSourceWhole = true;
		schedulePassOn();
	});
	source.once('error', error => {
		rest.destroy(error);
	});
	source.once('close', () => {
		if (!isSourceWhole) {
			rest.destroy(new Error('connection closed'));
		}
	});
	steer();
	return rest;
};
