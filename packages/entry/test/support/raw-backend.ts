/** A backend server over a raw socket, for responses that no HTTP library would send. */

import {Buffer} from 'node:buffer';
import net from 'node:net';
import type {Instance} from '@egretwing/core';
import {listen} from '@egretwing/node';
import {instanceAt} from './harness.ts';

/** A received request. */
export type RawRequest = {
	/** Request line and headers. */
	readonly head: string;
	readonly body: string;
};

/** A running raw backend server. */
export type RawBackend = {
	readonly instance: Instance;
	/** Requests that were received completely. */
	readonly requests: readonly RawRequest[];
	/** Number of connections opened so far. */
	readonly openedConnections: () => number;
	/** Number of connections closed so far. */
	readonly closedConnections: () => number;
	readonly close: () => void;
};

const headEnd = '\r\n\r\n';

const parseRequest = (text: string): {readonly request: RawRequest; readonly rest: string} | undefined => {
	const end = text.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const head = text.slice(0, end);
	const rest = text.slice(end + headEnd.length);
	if (/transfer-encoding: chunked/iv.test(head)) {
		const last = rest.indexOf('0\r\n\r\n');
		return last === -1 ? undefined : {request: {head, body: rest.slice(0, last)}, rest: rest.slice(last + 5)};
	}

	const length = Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0);
	return rest.length < length ? undefined : {request: {head, body: rest.slice(0, length)}, rest: rest.slice(length)};
};

/** Starts a server that calls `answer` with each complete request and its number, starting at 1. */
export const startRawBackend = async (hostId: string, service: string, answer: (socket: net.Socket, number: number, request: RawRequest) => void): Promise<RawBackend> => {
	const requests: RawRequest[] = [];
	const sockets = new Set<net.Socket>();
	let openedConnections = 0;
	let closedConnections = 0;
	const server = net.createServer(socket => {
		let text = '';
		openedConnections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
			closedConnections++;
		});
		socket.on('data', chunk => {
			text += Buffer.from(chunk).toString('latin1');
			for (let parsed = parseRequest(text); parsed; parsed = parseRequest(text)) {
				text = parsed.rest;
				requests.push(parsed.request);
				answer(socket, requests.length, parsed.request);
			}
		});
	});
	const port = await listen(server, 0, '127.0.0.1');
	return {
		instance: instanceAt(hostId, service, port),
		requests,
		openedConnections: () => openedConnections,
		closedConnections: () => closedConnections,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
