/**
 * Takes the rest of a large answer off an instance's hands, and passes it on at the speed of its caller.
 *
 * Load pattern: callers read large answers slowly. An instance cuts off an answer that stays unread for some seconds, and holds
 * its bytes meanwhile. Here the bytes are held as long as they count little towards what the process may hold; beyond that the
 * instance is read at the speed of the caller.
 */

import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {Readable} from 'node:stream';
import type {MemoryBudget, MemoryLease} from '@egretwing/core';
import {maxHeldRestBytes, maxHeldRestShare, maxHeldShareForRests} from './constants.ts';

/** Room is taken in units of this size, in bytes: four times what counts as small, so that it never comes out of the part for small requests. */
const roomBytes = 262_144;

/** Memory that a piece takes beside its bytes. */
const pieceOverheadBytes = 256;

/** The room that the pieces of one answer take up. */
type Room = {
	/** Whether there is room for a further piece. */
	readonly isLeft: () => boolean;
	readonly add: (piece: Buffer) => void;
	readonly remove: (piece: Buffer) => void;
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
		add({length}) {
			usedBytes += length + pieceOverheadBytes;
		},
		remove({length}) {
			usedBytes -= length + pieceOverheadBytes;
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

/**
 * Streams what `source` has not delivered yet. Ends only if the answer was complete, as `isComplete` says once the source has
 * ended, and fails otherwise; what is held then is dropped. Destroying it closes the connection of an incomplete answer.
 */
export const createAnswerRest = (source: http.IncomingMessage, memory: MemoryBudget, isComplete: () => boolean): Readable => {
	const room = createRoom(memory);
	const held: Buffer[] = [];
	let isWanted = false;
	let isSourceWhole = false;

	const steer = (): void => {
		if (isWanted || room.isLeft()) {
			source.resume();
		} else {
			source.pause();
		}
	};

	const rest = new Readable({
		read() {
			const piece = held.shift();
			if (piece !== undefined) {
				room.remove(piece);
				isWanted = false;
				rest.push(piece);
			} else if (isSourceWhole) {
				rest.push(null);
			} else {
				isWanted = true;
			}

			if (!isSourceWhole) {
				steer();
			}
		},
		destroy(error, callback) {
			held.length = 0;
			room.release();
			if (!isSourceWhole) {
				source.destroy();
			}

			callback(error);
		},
	});
	// It may fail while nobody reads it, when its caller waits for an earlier answer.
	rest.on('error', () => undefined);

	source.on('data', (piece: Buffer) => {
		if (rest.destroyed) {
			return;
		}

		if (isWanted) {
			isWanted = rest.push(piece);
		} else {
			room.add(piece);
			held.push(piece);
		}

		steer();
	});
	source.once('end', () => {
		if (!isComplete()) {
			rest.destroy(new Error('answer cut short'));
			return;
		}

		isSourceWhole = true;
		if (isWanted) {
			rest.push(null);
		}
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
