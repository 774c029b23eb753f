/** Reads the body of a caller's request whole, so that it can wait and be sent at once. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';

/** What came of reading a body. */
export type ReadBody
	= | {readonly type: 'whole'; readonly body: Buffer | null}
		| {readonly type: 'too-large'}
		| {readonly type: 'caller-gone'};

/** True when the request announces a body. */
const announcesBody = ({headers}: http.IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;

/** Reads the body, `maxBytes` at most, which is asked again as it grows; leaves the connection open for an answer. */
export const readBody = async (incoming: http.IncomingMessage, maxBytes: () => number): Promise<ReadBody> => {
	if (!announcesBody(incoming)) {
		return {type: 'whole', body: null};
	}

	if (Number(incoming.headers['content-length'] ?? 0) > maxBytes()) {
		return {type: 'too-large'};
	}

	if (incoming.destroyed) {
		return {type: 'caller-gone'};
	}

	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let sizeBytes = 0;
		const take = (chunk: Buffer): void => {
			sizeBytes += chunk.length;
			if (sizeBytes > maxBytes()) {
				incoming.off('data', take);
				resolve({type: 'too-large'});
				return;
			}

			chunks.push(chunk);
		};

		// The caller closed the connection before the body was whole; there is nobody left to answer.
		const giveUp = (): void => {
			resolve({type: 'caller-gone'});
		};

		incoming.on('data', take);
		incoming.once('end', () => {
			resolve(incoming.complete ? {type: 'whole', body: Buffer.concat(chunks)} : {type: 'caller-gone'});
		});
		incoming.once('error', giveUp);
		incoming.once('close', giveUp);
	});
};
