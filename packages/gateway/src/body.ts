/** Buffers the whole body of a caller's request, so that the request can be queued and sent to any instance at once. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';

/** Result of reading a body. */
export type ReadBodyResult
	= | {readonly type: 'whole'; readonly body: Buffer | null}
		| {readonly type: 'too-large'}
		| {readonly type: 'caller-gone'};

/** Whether the headers of the request announce a body. */
const announcesBody = ({headers}: http.IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;

/**
 * Reads the body, up to `maxBytes`, which is evaluated again for each chunk since the limit may change meanwhile. Leaves the
 * connection open for an answer.
 */
export const readBody = async (incoming: http.IncomingMessage, maxBytes: () => number): Promise<ReadBodyResult> => {
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
		const onData = (chunk: Buffer): void => {
			sizeBytes += chunk.length;
			if (sizeBytes > maxBytes()) {
				incoming.off('data', onData);
				resolve({type: 'too-large'});
				return;
			}

			chunks.push(chunk);
		};

		// The caller closed the connection before the body was complete, so nobody is left to answer.
		const onClosed = (): void => {
			resolve({type: 'caller-gone'});
		};

		incoming.on('data', onData);
		incoming.once('end', () => {
			resolve(incoming.complete ? {type: 'whole', body: Buffer.concat(chunks)} : {type: 'caller-gone'});
		});
		incoming.once('error', onClosed);
		incoming.once('close', onClosed);
	});
};
