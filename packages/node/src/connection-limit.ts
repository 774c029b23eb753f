/**
 * Bounds the open connections of a server. Beyond the limit, a new connection takes the place of the one whose last head or answer, or
 * whose opening, is the longest ago; one that is not busy goes first.
 */

import type http from 'node:http';
import type net from 'node:net';

/** Number of the connections that are looked at for one without a request in progress: enough where most callers are slow. */
const maxExamined = 64;

/** Returns the connection to close; `connections` are in the order of their last progress. */
export const pickStale = <Socket>(connections: Iterable<Socket>, isBusy: (connection: Socket) => boolean): Socket | undefined => {
	let oldest: Socket | undefined;
	let examined = 0;
	for (const connection of connections) {
		if (!isBusy(connection)) {
			return connection;
		}

		oldest ??= connection;
		examined++;
		if (examined >= maxExamined) {
			break;
		}
	}

	return oldest;
};

/** Limit and what is told of it. */
export type ConnectionLimitOptions = {
	/** Number of connections; no limit where it is absent. */
	readonly maxConnections: number | undefined;
	readonly isBusy: (socket: net.Socket) => boolean;
	readonly onClosed: () => void;
};

/** Applies the limit to the connections that `server` accepts from now on. */
export const limitConnections = (server: http.Server, {maxConnections = Number.POSITIVE_INFINITY, isBusy, onClosed}: ConnectionLimitOptions): void => {
	if (maxConnections === Number.POSITIVE_INFINITY) {
		return;
	}

	const connections = new Set<net.Socket>();
	server.prependListener('connection', socket => {
		const stale = connections.size >= maxConnections ? pickStale(connections, isBusy) : undefined;
		if (stale !== undefined) {
			connections.delete(stale);
			stale.destroy();
			onClosed();
		}

		connections.add(socket);
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	const moveToEnd = (socket: net.Socket): void => {
		if (connections.delete(socket)) {
			connections.add(socket);
		}
	};

	const recordRequest = ({socket}: http.IncomingMessage, response: http.ServerResponse): void => {
		moveToEnd(socket);
		response.once('finish', () => {
			moveToEnd(socket);
		});
	};

	server.on('request', recordRequest);
	server.on('checkExpectation', recordRequest);
};
