/** HTTP listeners beside the one for callers: lookups, readiness, operators. Whatever is sent to one, the process goes on. */

import http from 'node:http';
import type net from 'node:net';
import {limitConnections} from './connection-limit.ts';
import type {ErrorBarrier} from './error-barrier.ts';
import {sendJson} from './http.ts';
import {createSliceQueue} from './slice-queue.ts';
import {readInSlices, type SlicedReading} from './sliced-reading.ts';

/** Time for a request to arrive, and for a connection without any traffic, in milliseconds. */
const requestTimeoutMs = 10_000;
const idleTimeoutMs = 30_000;

/** Bytes that a caller may send ahead while its request is answered. */
const maxAheadBytes = 16_384;

const badRequestStatusCode = 400;
const tooLargeStatusCode = 413;
const internalErrorStatusCode = 500;

/** Returns the URL of a request's target; undefined where the target is none. */
export const parseTarget = (text: string | undefined): URL | undefined => {
	try {
		return new URL(text ?? '/', 'http://host');
	} catch {
		return undefined;
	}
};

/** Answers one request. */
export type GuardedHandler = (url: URL, request: http.IncomingMessage, response: http.ServerResponse) => unknown;

/** Handler of the requests, and where its errors go. */
export type GuardedServerOptions = {
	/** Name of the listener in logs and metrics. */
	readonly place: string;
	readonly errors?: ErrorBarrier;
	/** Number of open connections, of which the stalest is closed for a new one; no limit where it is absent. */
	readonly maxConnections?: number;
	/** Called when a connection is closed to keep a limit. */
	readonly onClosed?: (reason: 'connections' | 'ahead') => void;
	readonly handle: GuardedHandler;
};

/** A connection to a guarded server. */
type Connection = {
	readonly reading: SlicedReading;
	unanswered: number;
};

const hasBody = ({headers}: http.IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Creates a server that answers 400 to a target that can't be parsed, 413 to a request with a body, of which nothing is read, and 500
 * where the handler fails. It parses the next request of a connection when the one before is answered.
 */
export const createGuardedServer = ({
	place, errors, maxConnections, onClosed = () => undefined, handle,
}: GuardedServerOptions): http.Server => {
	const connections = new WeakMap<net.Socket, Connection>();
	const queue = createSliceQueue(() => false);

	const answer = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		try {
			const url = parseTarget(request.url);
			if (url === undefined) {
				sendJson(response, badRequestStatusCode, {error: 'invalid request target'});
				return;
			}

			await handle(url, request, response);
		} catch (error) {
			errors?.record(place, error);
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendJson(response, internalErrorStatusCode, {error: 'internal error'});
		}
	};

	const begin = (request: http.IncomingMessage, response: http.ServerResponse): void => {
		const connection = connections.get(request.socket);
		if (connection !== undefined) {
			connection.unanswered++;
			connection.reading.begin(request);
			response.once('finish', () => {
				connection.unanswered--;
				connection.reading.update();
			});
		}

		if (hasBody(request)) {
			connection?.reading.stop();
			response.shouldKeepAlive = false;
			sendJson(response, tooLargeStatusCode, {error: 'requests with a body are not taken'});
			return;
		}

		void answer(request, response);
	};

	const server = http.createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs}, begin);
	server.on('connection', socket => {
		const connection: Connection = {
			unanswered: 0,
			reading: readInSlices(socket, {
				isHeld: () => connection.unanswered > 0, isShort: () => false, queue, memory: undefined, maxRestBytes: maxAheadBytes, onRefused() {
					onClosed('ahead');
				},
			}),
		};
		connections.set(socket, connection);
	});
	limitConnections(server, {
		maxConnections,
		isBusy: socket => (connections.get(socket)?.unanswered ?? 0) > 0,
		onClosed() {
			onClosed('connections');
		},
	});
	// A caller that does not read its answer would keep the connection.
	server.setTimeout(idleTimeoutMs);
	return server;
};
