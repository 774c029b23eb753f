/** Keeps the whole body of a caller's request, so that the request can be queued and sent to any instance at once. */

import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {createBodyPieces} from '@egretwing/node';

/** A body as it was received; the pieces are not joined, since that would take its size twice. */
export type ReceivedBody = {
	readonly chunks: readonly Buffer[];
	readonly sizeBytes: number;
};

/** Result of reading a body. */
export type ReadBodyResult
	= | {readonly type: 'whole'; readonly body: ReceivedBody | null}
		| {readonly type: 'too-large'}
	/** The memory for callers' bytes is used up. */
		| {readonly type: 'no-memory'}
	/** The body was not complete in time. */
		| {readonly type: 'too-slow'}
		| {readonly type: 'caller-gone'};

/** Limits on the body. */
export type ReadBodyLimits = {
	/** Largest body, evaluated again for each chunk since the limit may change meanwhile. */
	readonly maxBytes: () => number;
	/** Whether the memory could hold a body of this size at all. */
	readonly fitsMemory: (sizeBytes: number) => boolean;
	/** Takes memory for a chunk; false when there is none. */
	readonly reserve: (sizeBytes: number) => boolean;
	/** Time within which the body has to be complete. */
	readonly withinMs: number;
};

/** Whether the headers of the request announce a body. */
const announcesBody = ({headers}: http.IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;

/** Reads the body. Leaves the connection open for an answer; what was kept of a body that is not read whole is let go at once. */
export const readBody = async (incoming: http.IncomingMessage, {
	maxBytes, fitsMemory, reserve, withinMs,
}: ReadBodyLimits): Promise<ReadBodyResult> => {
	if (!announcesBody(incoming)) {
		return {type: 'whole', body: null};
	}

	const announcedBytes = Number(incoming.headers['content-length'] ?? 0);
	if (announcedBytes > maxBytes()) {
		return {type: 'too-large'};
	}

	// An announced size takes no memory: its bytes may never come.
	if (!fitsMemory(announcedBytes)) {
		return {type: 'no-memory'};
	}

	if (incoming.destroyed) {
		return {type: 'caller-gone'};
	}

	return new Promise(resolve => {
		let pieces = createBodyPieces(reserve);
		let sizeBytes = 0;
		const end = (result: ReadBodyResult): void => {
			clearTimeout(timer);
			resolve(result);
		};

		const stop = (type: 'too-large' | 'no-memory' | 'too-slow'): void => {
			incoming.off('data', onData);
			pieces = createBodyPieces(() => false);
			end({type});
		};

		const timer = setTimeout(stop, Math.max(1, withinMs), 'too-slow');

		const onData = (chunk: Buffer): void => {
			sizeBytes += chunk.length;
			if (sizeBytes > maxBytes()) {
				stop('too-large');
				return;
			}

			if (!pieces.add(chunk)) {
				stop('no-memory');
			}
		};

		// The caller closed the connection before the body was complete, so nobody is left to answer.
		const onClosed = (): void => {
			end({type: 'caller-gone'});
		};

		incoming.on('data', onData);
		incoming.once('end', () => {
			end(incoming.complete ? {type: 'whole', body: {chunks: pieces.take(), sizeBytes}} : {type: 'caller-gone'});
		});
		incoming.once('error', onClosed);
		incoming.once('close', onClosed);
	});
};
