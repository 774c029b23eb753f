/**
 * Pauses the reading of an answer at its connection.
 *
 * A paused `http.IncomingMessage` keeps one object for each chunk that the instance cut: one read of 64 KB can hold ten thousand
 * of them. Therefore the message keeps flowing and the socket is paused, so that unread bytes stay unparsed. Between reads
 * of very many small pieces other connections get their turn.
 */

import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {minOwnPieceBytes, type SliceQueue} from '@egretwing/node';

/** Number of small pieces after which an answer waits for its next turn. */
const smallPiecesPerTurn = 1024;

/** Size of one read of a socket, in bytes. */
const readBytes = 65_536;

/** Reading of one answer. Its listeners receive pieces until the end of the read in which it was paused. */
export type AnswerFlow = {
	/** To be called for each piece that arrives. */
	readonly recordPiece: (piece: Buffer) => void;
	readonly pause: () => void;
	readonly resume: () => void;
};

/** Controls the reading of `answer`, which must have a listener for data until its end; answers in very many small pieces take turns in `queue`. */
export const createAnswerFlow = (answer: http.IncomingMessage, queue: SliceQueue): AnswerFlow => {
	const {socket} = answer;
	let isPaused = false;
	let isYielding = false;
	let smallPieces = 0;
	let isOver = false;

	const steer = (): void => {
		// The next request on the connection must not find it paused.
		const isStopped = !isOver && !answer.complete && (isPaused || isYielding);
		if (!socket.destroyed && isStopped !== socket.isPaused()) {
			socket[isStopped ? 'pause' : 'resume']();
		}
	};

	const end = (): void => {
		isOver = true;
		socket.off('resume', steer);
		steer();
	};

	// Node.js resumes the connection whenever the message has room.
	socket.on('resume', steer);
	answer.once('end', end);
	answer.once('close', end);
	return {
		recordPiece({length}) {
			smallPieces += Number(length < minOwnPieceBytes);
			if (smallPieces < smallPiecesPerTurn || isYielding) {
				return;
			}

			smallPieces = 0;
			isYielding = true;
			steer();
			queue.add(() => {
				isYielding = false;
				steer();
				return readBytes;
			});
		},
		pause() {
			isPaused = true;
			steer();
		},
		resume() {
			isPaused = false;
			steer();
		},
	};
};
