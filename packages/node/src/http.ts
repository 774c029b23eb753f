/** Helpers for HTTP servers. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {AddressInfo, Server} from 'node:net';

/** Maximum number of informational (1xx) responses before the final one; far more than a backend server has reason to send. */
export const maxInformationalResponses = 100;

/** Sends a response with a JSON body. */
export const sendJson = (response: http.ServerResponse, statusCode: number, body: unknown): void => {
	const text = JSON.stringify(body);
	response.writeHead(statusCode, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	response.end(text);
};

/** Resolves with the bound port once `server` listens on `address`; rejects if the address can't be bound. */
export const listen = async (server: Server, port: number, address: string): Promise<number> => new Promise((resolve, reject) => {
	const onListening = (): void => {
		server.off('error', onError);
		// A connection that can't be accepted, for want of descriptors, is an error of the listener, which would end the process.
		server.on('error', () => undefined);
		resolve((server.address() as AddressInfo).port);
	};

	const onError = (error: Error): void => {
		server.off('listening', onListening);
		reject(error);
	};

	server.once('error', onError);
	server.once('listening', onListening);
	server.listen(port, address);
});

/** Reads a request body as JSON; rejects if it is larger than `limitBytes` or is not valid JSON. */
export const readJson = async (request: http.IncomingMessage, limitBytes: number): Promise<unknown> => {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes > limitBytes) {
			throw new RangeError(`The body is larger than ${limitBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
};
