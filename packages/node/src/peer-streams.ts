/** TCP between hosts of the fleet, for messages that do not fit a datagram. Each connection carries messages one way. */

import net from 'node:net';
import type {Buffer} from 'node:buffer';
import {createFrameReader, encodeFrame} from './frames.ts';
import {listen} from './http.ts';

/** Time without traffic after which a connection is closed. */
const idleTimeoutMs = 15_000;

/** Bytes that may wait for one slow peer; what comes after is dropped. */
const maxWaitingBytes = 16_777_216;

/** Time without bytes after which a message that has begun counts as stuck: many round trips, and less than a lost packet takes that was sent twice. */
const arrivalPauseMs = 300;

/** Where a peer listens. */
export type PeerEndpoint = {
	readonly address: string;
	readonly peerPort: number;
};

/** Connections to and from peers. */
export type PeerStreams = {
	/** Sends one message; dropped when the peer can't be reached or reads too slowly. */
	readonly send: (to: PeerEndpoint, message: Buffer) => void;
	/** Whether a part of a message of this peer came lately, and the rest is missing. */
	readonly isReceivingFrom: (from: PeerEndpoint) => boolean;
	/** Lets the next message to a peer that does not answer open another connection; what the present one holds is still sent. */
	readonly reconnect: (to: PeerEndpoint) => void;
	readonly close: () => void;
};

/** Where to listen and who takes messages. */
export type PeerStreamsOptions = PeerEndpoint & {
	/** Returns false to end the connection. */
	readonly onMessage: (message: Buffer) => boolean;
};

/** A connection that a peer opened. */
type Incoming = {
	/** True while a message is on its way in it. */
	readonly isArriving: () => boolean;
};

const readFrames = (socket: net.Socket, onMessage: (message: Buffer) => boolean): Incoming => {
	const reader = createFrameReader();
	let lastBytesMs = 0;
	socket.on('data', bytes => {
		lastBytesMs = performance.now();
		const payloads = reader.push(bytes);
		if (payloads.isErr() || !payloads.value.every(payload => onMessage(payload))) {
			socket.destroy();
		}
	});
	return {isArriving: () => reader.isMidway() && performance.now() - lastBytesMs < arrivalPauseMs};
};

/** Starts listening for peers. */
export const createPeerStreams = async (options: PeerStreamsOptions): Promise<PeerStreams> => {
	const outgoing = new Map<string, net.Socket>();
	/** These, and those that were renewed and still send. */
	const opened = new Set<net.Socket>();
	const incoming = new Map<net.Socket, Incoming>();

	const prepare = (socket: net.Socket, onClose: () => void): void => {
		socket.setNoDelay(true);
		socket.setTimeout(idleTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', onClose);
	};

	const server = net.createServer(socket => {
		prepare(socket, () => {
			incoming.delete(socket);
		});
		incoming.set(socket, readFrames(socket, options.onMessage));
	});
	await listen(server, options.peerPort, options.address);

	const connect = ({address, peerPort}: PeerEndpoint, key: string): net.Socket => {
		const socket = net.connect({host: address, port: peerPort, localAddress: options.address});
		outgoing.set(key, socket);
		opened.add(socket);
		prepare(socket, () => {
			opened.delete(socket);
			if (outgoing.get(key) === socket) {
				outgoing.delete(key);
			}
		});
		return socket;
	};

	const keyOf = ({address, peerPort}: PeerEndpoint): string => `${address}:${peerPort}`;

	return {
		send(to, message) {
			const key = keyOf(to);
			const socket = outgoing.get(key) ?? connect(to, key);
			if (socket.writable && socket.writableLength < maxWaitingBytes) {
				socket.write(encodeFrame(message));
			}
		},
		isReceivingFrom: ({address}) => [...incoming].some(([{remoteAddress}, {isArriving}]) => remoteAddress === address && isArriving()),
		reconnect(to) {
			outgoing.get(keyOf(to))?.end();
			outgoing.delete(keyOf(to));
		},
		close() {
			server.close();
			for (const socket of [...opened, ...incoming.keys()]) {
				socket.destroy();
			}
		},
	};
};
