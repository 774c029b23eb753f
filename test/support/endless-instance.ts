/** An instance whose answer never ends, written to a raw socket because HTTP libraries do not allow such answers. */

import {Buffer} from 'node:buffer';
import net from 'node:net';
import {performance} from 'node:perf_hooks';

/** Maximum number of bytes sent, so that a test ends even when the proxy reads all of them. */
export const maxAnswerBytes = 67_108_864;

const minWriteBytes = 65_536;

/** An endless answer. */
export type EndlessAnswer = {
	/** Sent once; `{id}` is replaced by the request id. */
	readonly start: string;
	/** Sent repeatedly after `start`. */
	readonly piece: string;
	/** Delay before the first piece; without it, `start` and the first piece are sent in one packet. */
	readonly afterMs?: number;
	/** Delay between two pieces; without it they are sent as fast as they are read. */
	readonly pauseMs?: number;
};

/** A running instance. */
export type EndlessInstance = {
	readonly port: number;
	/** Ids of the requests that arrived. */
	readonly ids: readonly string[];
	/** Bytes of the endless answer that were handed over to the operating system. */
	readonly takenBytes: () => number;
	/** Resolves with the time at which the connection of the endless answer was closed. */
	readonly closedAtMs: Promise<number>;
	readonly close: () => void;
};

/** A complete signed answer with the request id as its body. */
export const wholeAnswer = (id: string): string =>
	`HTTP/1.1 200 OK\r\negretwing-request-id: ${id}\r\negretwing-signature: s\r\ncontent-length: ${id.length}\r\n\r\n${id}`;

/** Behaviour of an instance after its first request. */
export type EndlessOptions = {
	/** Answer to the requests after the first one. */
	readonly later?: 'whole answers' | 'silence';
	/** Ids of the requests so far; several instances can share it so that only one sends the endless answer. */
	readonly ids?: string[];
};

/** Starts an instance that sends `answer` to the first request. */
export const startEndlessInstance = async (address: string, answer: EndlessAnswer, {later = 'whole answers', ids = []}: EndlessOptions = {}): Promise<EndlessInstance> => {
	const sockets = new Set<net.Socket>();
	let takenBytes = 0;
	let resolveClosed: (atMs: number) => void;
	const closedAtMs = new Promise<number>(resolve => {
		resolveClosed = resolve;
	});
	const isPaced = answer.pauseMs !== undefined;
	const writeBuffer = Buffer.from(isPaced ? answer.piece : answer.piece.repeat(Math.ceil(minWriteBytes / answer.piece.length)), 'latin1');

	const sendChunks = (socket: net.Socket): void => {
		if (socket.destroyed || takenBytes >= maxAnswerBytes) {
			return;
		}

		socket.write(writeBuffer, error => {
			if (!error) {
				takenBytes += writeBuffer.length;
				setTimeout(sendChunks, answer.pauseMs ?? 0, socket);
			}
		});
	};

	const sendEndlessAnswer = (socket: net.Socket, id: string): void => {
		socket.once('close', () => {
			resolveClosed(performance.now());
		});
		socket.cork();
		socket.write(answer.start.replace('{id}', id), 'latin1');
		if (answer.afterMs === undefined) {
			sendChunks(socket);
		} else {
			setTimeout(sendChunks, answer.afterMs, socket);
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
				sendEndlessAnswer(socket, id);
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
