/** Callers' connections to an HTTP server: starts their requests and sends the answers in the order in which the requests arrived. */

import type http from 'node:http';
import type net from 'node:net';
import {
	createRequestPipeline, objectBytesOf, type MemoryBudget, type MemoryLease, type RequestEffect, type RequestPipeline,
} from '@egretwing/core';
import {isParserError} from './client-error.ts';
import {limitConnections} from './connection-limit.ts';
import {createSliceQueue} from './slice-queue.ts';
import {readInSlices, type SlicedReading} from './sliced-reading.ts';

/** How the wait of a request for its start ended. */
export type StartResult
	/** It may be sent to an instance. */
	= | 'start'
	/** Its caller has disconnected. */
		| 'caller-gone'
	/** An earlier answer has closed the connection; the caller takes the request as not read. */
		| 'not-read';

/** A request on a caller's connection until its answer is sent. */
export type CallerExchange = {
	/** Number of earlier requests of the connection that were unanswered when it arrived. */
	readonly unansweredBefore: number;
	/** Whether the memory for requests holds this one; if not, it has to be refused. */
	readonly fitsMemory: boolean;
	/** Aborts when the connection closes before the answer is sent. */
	readonly signal: AbortSignal;
	/** Counts the body of the request towards the limit of its connection. */
	readonly recordBody: (bodyBytes: number) => void;
	/** Waits until the request may be sent to an instance. */
	readonly untilStart: (effect: Exclude<RequestEffect, 'none'>) => Promise<StartResult>;
	/** Waits until the answer may be sent; resolves with false when it can't be sent any more. */
	readonly untilTurn: () => Promise<boolean>;
	/** Decides whether the answer closes the connection, which `isWanted` asks for; to be called before it is sent. */
	readonly decideClose: (isWanted: boolean) => boolean;
};

/** Handles an error of a connection that can't be read any further. */
export type UnreadableHandler = (error: Error, socket: net.Socket) => void;

/** The open connections of a server. */
export type CallerConnections = {
	/** Adds a request; `isLast` if its answer closes the connection, whatever it is. */
	readonly begin: (incoming: http.IncomingMessage, response: http.ServerResponse, isLast: boolean) => CallerExchange;
	/** Calls `handle` once the requests that were read before the error are answered. */
	readonly handleUnreadable: (error: Error, socket: net.Socket, handle: UnreadableHandler) => void;
	/** Whether nothing is read from the connection until some of its requests are answered. */
	readonly isReadPaused: (socket: net.Socket) => boolean;
	/** Closes the connections without an unanswered request. */
	readonly closeIdle: () => void;
};

type Waiter<Value> = {
	readonly settled: Promise<Value>;
	readonly settle: (value: Value) => void;
};

const createWaiter = <Value>(): Waiter<Value> => {
	let settle!: (value: Value) => void;
	const settled = new Promise<Value>(resolve => {
		settle = resolve;
	});
	return {settled, settle};
};

/** Bounds on what all connections of a server hold. */
export type CallerConnectionsOptions = {
	readonly memory?: MemoryBudget;
	/** Number of open connections, of which the stalest is closed for a new one; no limit where it is absent. */
	readonly maxConnections?: number;
	/** Called when a connection is closed to keep a limit: its unread bytes don't fit the memory, or there are too many connections. */
	readonly onClosed?: (reason: 'memory' | 'connections') => void;
};

type Request = {
	readonly lease: MemoryLease | undefined;
	readonly incoming: http.IncomingMessage;
	readonly gone: AbortController;
	readonly start: Waiter<StartResult>;
	readonly turn: Waiter<boolean>;
	isAnswerKnown: boolean;
};

type Connection = {
	readonly pipeline: RequestPipeline<Request>;
	/** Bytes read when the last request was answered: more have arrived if the next one has begun. */
	idleReadBytes: number;
	readonly reading: SlicedReading;
	last?: http.IncomingMessage;
	unreadable?: () => void;
};

const isKeptAlive = ({headers, httpVersionMajor, httpVersionMinor}: http.IncomingMessage): boolean => {
	const options = new Set((headers.connection ?? '').toLowerCase().split(',').map(option => option.trim()));
	return httpVersionMajor === 1 && httpVersionMinor === 0 ? options.has('keep-alive') : !options.has('close');
};

/** Size of the head, and the number of its fields, as objects. */
const headObjectBytesOf = ({url = '', rawHeaders}: http.IncomingMessage): number =>
	objectBytesOf(rawHeaders.reduce((sumBytes, text) => sumBytes + text.length, url.length), rawHeaders.length / 2);

/** Lets go of the trailers of a request, which nothing uses, once they are read. */
const discardTrailers = (incoming: http.IncomingMessage): void => {
	if (incoming.headers['transfer-encoding'] !== undefined) {
		incoming.once('end', () => {
			incoming.rawTrailers = [];
		});
	}
};

/** Tracks the connections of `server`. */
export const trackCallerConnections = (server: http.Server, {memory, maxConnections, onClosed = () => undefined}: CallerConnectionsOptions = {}): CallerConnections => {
	const connections = new Map<net.Socket, Connection>();
	const isShort = (): boolean => memory?.areObjectsShort() === true;
	const queue = createSliceQueue(isShort);

	const update = (socket: net.Socket, connection: Connection): void => {
		const {pipeline} = connection;
		for (const {start} of pipeline.takeStartable()) {
			start.settle('start');
		}

		const current = pipeline.current();
		current?.turn.settle(true);
		// A request whose body became unreadable is never complete.
		if (connection.unreadable !== undefined && (current === undefined || !(current.incoming.complete || current.isAnswerKnown))) {
			connection.unreadable();
			return;
		}

		connection.reading.update();
	};

	const track = (socket: net.Socket): Connection => {
		const pipeline = createRequestPipeline<Request>();
		const connection: Connection = {
			pipeline,
			idleReadBytes: 0,
			reading: readInSlices(socket, {
				// A request that is not complete goes on, since it would keep its memory for nothing.
				isHeld: () => pipeline.isReadAheadFull() || (isShort() && pipeline.current() !== undefined && connection.last?.complete === true),
				isShort,
				queue,
				memory,
				onRefused() {
					onClosed('memory');
				},
			}),
		};
		connections.set(socket, connection);
		socket.once('end', () => {
			if (connection.unreadable !== undefined) {
				socket.destroy();
			}
		});
		socket.once('close', () => {
			connections.delete(socket);
			const result = connection.pipeline.isClosed() ? 'not-read' : 'caller-gone';
			for (const {gone, start, turn, lease} of connection.pipeline.unanswered()) {
				lease?.release();
				gone.abort();
				start.settle(result);
				turn.settle(false);
			}
		});
		return connection;
	};

	server.on('connection', track);
	limitConnections(server, {
		maxConnections,
		// A request that has arrived whole may be running.
		isBusy(socket) {
			const connection = connections.get(socket);
			return connection?.pipeline.current()?.incoming.complete === true;
		},
		onClosed() {
			onClosed('connections');
		},
	});
	return {
		begin(incoming, response, isLast) {
			const {socket} = incoming;
			const connection = connections.get(socket) ?? track(socket);
			const {pipeline} = connection;
			const lease = memory?.open();
			const fitsMemory = lease?.reserveObjects(headObjectBytesOf(incoming)) ?? true;
			connection.last = incoming;
			connection.reading.begin(incoming);
			discardTrailers(incoming);
			const request: Request = {
				lease, incoming, gone: new AbortController(), start: createWaiter(), turn: createWaiter(), isAnswerKnown: false,
			};
			const unansweredBefore = pipeline.unanswered().length;
			pipeline.add(request, isLast || !isKeptAlive(incoming));
			response.once('finish', () => {
				lease?.release();
				// Node.js closes the connection by itself behind some answers; its own listener has run before this one.
				pipeline.finishCurrent(!socket.writable);
				connection.idleReadBytes = socket.bytesRead;
				update(socket, connection);
			});
			update(socket, connection);
			return {
				unansweredBefore,
				fitsMemory,
				signal: request.gone.signal,
				recordBody(bodyBytes) {
					pipeline.recordBody(request, bodyBytes);
					update(socket, connection);
				},
				async untilStart(effect) {
					// An answer of unknown length to a caller of HTTP/1.0 ends with its connection.
					pipeline.classify(request, incoming.httpVersion === '1.0' ? 'at-most-once' : effect);
					update(socket, connection);
					return request.start.settled;
				},
				async untilTurn() {
					request.isAnswerKnown = true;
					pipeline.classify(request, 'none');
					update(socket, connection);
					return request.turn.settled;
				},
				decideClose: isWanted => pipeline.decideClose(request, isWanted),
			};
		},
		handleUnreadable(error, socket, handle) {
			const connection = connections.get(socket);
			if (connection === undefined || !isParserError(error)) {
				handle(error, socket);
				return;
			}

			connection.reading.stop();
			connection.unreadable ??= () => {
				handle(error, socket);
			};

			update(socket, connection);
		},
		isReadPaused: socket => connections.get(socket)?.reading.isPaused() === true,
		closeIdle() {
			for (const [socket, {pipeline, idleReadBytes, reading}] of connections) {
				if (pipeline.unanswered().length === 0 && !reading.isPaused() && socket.bytesRead === idleReadBytes) {
					socket.destroy();
				}
			}
		},
	};
};
