/** TCP connections that carry `cbor-x` frames. */

import net from 'node:net';
import {
	createFrameReader, decodeValue, encodeValue, encodeFrame,
} from './frames.ts';

/** Event handlers of a connection. */
export type ConnectionHandlers = {
	readonly onMessage: (message: unknown) => void;
	/** Called once when the connection has closed for any reason. */
	readonly onClose: () => void;
};

/** One open connection. */
export type Connection = {
	/** Sends one message; returns false if the connection is closed, or if its write buffer is full and the caller should pause. */
	readonly send: (message: unknown) => boolean;
	readonly close: () => void;
};

/** Wraps a connected socket; closes the connection on an invalid frame. */
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

/** Options of a connection that is re-established whenever it closes. */
export type MaintainConnectionOptions = {
	readonly address: string;
	readonly port: number;
	readonly retryDelayMs: number;
	readonly onOpen: (connection: Connection) => void;
	readonly onMessage: (message: unknown, connection: Connection) => void;
	readonly onClose: () => void;
};

/** Connects to `address` and reconnects after each loss, until the returned function is called. */
export const maintainConnection = (options: MaintainConnectionOptions): (() => void) => {
	let isStopped = false;
	let current: Connection | undefined;
	let timer: NodeJS.Timeout | undefined;
	const open = () => {
		const socket = net.connect(options.port, options.address);
		let isConnected = false;
		const connection = createConnection(socket, {
			onMessage(message) {
				options.onMessage(message, connection);
			},
			onClose() {
				current = undefined;
				if (isConnected) {
					options.onClose();
				}

				if (!isStopped) {
					timer = setTimeout(open, options.retryDelayMs);
				}
			},
		});
		current = connection;
		socket.once('connect', () => {
			isConnected = true;
			options.onOpen(connection);
		});
	};

	open();
	return () => {
		isStopped = true;
		clearTimeout(timer);
		current?.close();
	};
};
