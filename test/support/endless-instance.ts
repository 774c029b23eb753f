/** An instance that sends without end, byte by byte as no HTTP library would. */

import {Buffer} from 'node:buffer';
import net from 'node:net';
import {performance} from 'node:perf_hooks';

/** What the instance offers at most, so that a test stays bounded when all of it is read. */
export const offeredBytes = 67_108_864;

const pieceBytes = 65_536;

/** An answer without end. */
export type EndlessAnswer = {
	/** Sent once; `{id}` stands for the id of the request. */
	readonly start: string;
	/** Sent over and over after it. */
	readonly piece: string;
	/** Pause before the first piece; without it, one packet brings it together with the start. */
	readonly afterMs?: number;
	/** Pause between two pieces; without it they come as fast as they are taken. */
	readonly pauseMs?: number;
};

/** A running endless instance. */
export type EndlessInstance = {
	readonly port: number;
	/** Ids of the requests that arrived. */
	readonly ids: readonly string[];
	/** Bytes of the endless answer that left the process of the instance. */
	readonly takenBytes: () => number;
	/** Resolves with the time at which the connection of the endless answer was closed. */
	readonly closedAtMs: Promise<number>;
	readonly close: () => void;
};

/** A whole signed answer with the id as its body. */
export const wholeAnswer = (id: string): string =>
	`HTTP/1.1 200 OK\r\negretwing-request-id: ${id}\r\negretwing-signature: s\r\ncontent-length: ${id.length}\r\n\r\n${id}`;

/** How an instance goes on. */
export type EndlessOptions = {
	/** What requests after the first one get. */
	readonly later?: 'whole answers' | 'silence';
	/** Ids of the requests so far; shared by instances of which only one gives an answer without end. */
	readonly ids?: string[];
};

/** Starts an instance that gives the first request `answer`. */
export const startEndlessInstance = async (address: string, answer: EndlessAnswer, {later = 'whole answers', ids = []}: EndlessOptions = {}): Promise<EndlessInstance> => {
	const sockets = new Set<net.Socket>();
	let takenBytes = 0;
	let noteClosed: (atMs: number) => void;
	const closedAtMs = new Promise<number>(resolve => {
		noteClosed = resolve;
	});
	const isPaced = answer.pauseMs !== undefined;
	const piece = Buffer.from(isPaced ? answer.piece : answer.piece.repeat(Math.ceil(pieceBytes / answer.piece.length)), 'latin1');

	const sendPieces = (socket: net.Socket): void => {
		if (socket.destroyed || takenBytes >= offeredBytes) {
			return;
		}

		socket.write(piece, error => {
			if (!error) {
				takenBytes += piece.length;
				setTimeout(sendPieces, answer.pauseMs ?? 0, socket);
			}
		});
	};

	const sendEndless = (socket: net.Socket, id: string): void => {
		socket.once('close', () => {
			noteClosed(performance.now());
		});
		socket.cork();
		socket.write(answer.start.replace('{id}', id), 'latin1');
		if (answer.afterMs === undefined) {
			sendPieces(socket);
		} else {
			setTimeout(sendPieces, answer.afterMs, socket);
		}

		socket.uncork();
	};

	const server = net.createServer(socket => {
		let text = '';
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			const id = /egretwing-request-id: (\S+)\r\n.*\r\n\r\n/sv.exec(text)?.[1];
			if (id === undefined) {
				return;
			}

			text = '';
			ids.push(id);
			if (ids.length === 1) {
				sendEndless(socket, id);
			} else if (later === 'whole answers') {
				socket.write(wholeAnswer(id));
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as net.AddressInfo).port,
		ids,
		takenBytes: () => takenBytes,
		closedAtMs,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
