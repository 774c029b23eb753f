/** A TCP connection that carries `cbor-x` frames, and the listener and dialler for it. */

import net from 'node:net';
import {
	createFrameReader, decodeValue, encodeValue, encodeFrame,
} from './frames.ts';

/** Hooks of a connection. */
export type ConnectionHandlers = {
	readonly onMessage: (message: unknown) => void;
	/** Called once when the connection has ended for whatever reason. */
	readonly onClose: () => void;
};

/** One open connection. */
export type Connection = {
	/** Sends one message; false when the peer reads too slowly and the caller should hold back. */
	readonly send: (message: unknown) => boolean;
	readonly close: () => void;
};

/** Wraps a connected socket; bytes that are no valid frame end the connection. */
export const createConnection = (socket: net.Socket, handlers: ConnectionHandlers): Connection => {
	const reader = createFrameReader();
	socket.setNoDelay(true);
	socket.on('data', bytes => {
		const payloads = reader.push(bytes);
		if (payloads.isErr()) {
			socket.destroy();
			return;
		}

		for (const payload of payloads.value) {
			const message = decodeValue(payload);
			if (message.isErr()) {
				socket.destroy();
				return;
			}

			handlers.onMessage(message.value);
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		handlers.onClose();
	});
	return {
		send: message => socket.writable && socket.write(encodeFrame(encodeValue(message))),
		close() {
			socket.destroy();
		},
	};
};

/** Settings of a connection that is opened again whenever it ends. */
export type DialOptions = {
	readonly address: string;
	readonly port: number;
	readonly retryDelayMs: number;
	readonly onOpen: (connection: Connection) => void;
	readonly onMessage: (message: unknown, connection: Connection) => void;
	readonly onClose: () => void;
};

/** Keeps a connection to `address` open until the returned function is called. */
export const dial = (options: DialOptions): (() => void) => {
	let stopped = false;
	let current: Connection | undefined;
	let timer: NodeJS.Timeout | undefined;
	const open = () => {
		const socket = net.connect(options.port, options.address);
		let connected = false;
		const connection = createConnection(socket, {
			onMessage(message) {
				options.onMessage(message, connection);
			},
			onClose() {
				current = undefined;
				if (connected) {
					options.onClose();
				}

				if (!stopped) {
					timer = setTimeout(open, options.retryDelayMs);
				}
			},
		});
		current = connection;
		socket.once('connect', () => {
			connected = true;
			options.onOpen(connection);
		});
	};

	open();
	return () => {
		stopped = true;
		clearTimeout(timer);
		current?.close();
	};
};
