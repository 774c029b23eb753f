/** HTTP callers for tests: one that reports how an exchange ended, one that sends raw bytes. */

import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** How an exchange ended for its caller. */
export type Exchange = {
	readonly statusCode: number;
	/** Kind of the refusal. */
	readonly kind: string | undefined;
	readonly ran: string | undefined;
	readonly headers: Headers;
	readonly text: string;
	/** False if the response was truncated. */
	readonly isWhole: boolean;
};

/** Sends a request and reads the complete response. */
export const call = async (url: string, init: RequestInit = {}): Promise<Exchange> => {
	const response = await fetch(url, init);
	const {status: statusCode, headers} = response;
	const kind = headers.get('egretwing-kind') ?? undefined;
	const ran = headers.get('egretwing-ran') ?? undefined;
	try {
		const text = await response.text();
		return {
			statusCode, kind, ran, headers, text, isWhole: true,
		};
	} catch {
		return {
			statusCode, kind, ran, headers, text: '', isWhole: false,
		};
	}
};

/** Sends `bytes` unchanged; resolves with all received data when the connection closes or `timeoutMs` has passed. */
export const sendRaw = async (port: number, bytes: string, timeoutMs = 5000): Promise<{readonly text: string; readonly isClosed: boolean}> => {
	const socket = net.connect(port, '127.0.0.1');
	let text = '';
	let isClosed = false;
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		text += Buffer.from(chunk).toString('latin1');
	});
	const closed = new Promise<void>(resolve => {
		socket.on('close', () => {
			isClosed = true;
			resolve();
		});
	});
	socket.write(Buffer.from(bytes, 'latin1'));
	await Promise.race([closed, delay(timeoutMs, undefined, {ref: false})]);
	socket.destroy();
	return {text, isClosed};
};

/** Waits until `condition` returns true; rejects after `timeoutMs`. */
export const waitUntil = async (condition: () => boolean, timeoutMs = 5000): Promise<void> => {
	const endMs = Date.now() + timeoutMs;
	while (!condition()) {
		if (Date.now() > endMs) {
			throw new Error(`Condition not met within ${timeoutMs} ms: ${condition.toString()}`);
		}

		await delay(5);
	}
};
