/** TCP connections between hosts of the fleet, for messages too large for a datagram. Each connection is used in one direction. */

import net from 'node:net';
import type {Buffer} from 'node:buffer';
import {createFrameReader, encodeFrame} from './frames.ts';
import {listen} from './http.ts';

/** Time without traffic after which a connection is closed, in milliseconds. */
const idleTimeoutMs = 15_000;

/** Maximum number of bytes queued for a slow peer; further messages are dropped. */
const maxPendingBytes = 16_777_216;

/** Pause after which a partial message counts as stalled: many round trips, less than two successive retransmission timeouts. */
const stalledMessageMs = 300;

/** Where a peer listens. */
export type PeerEndpoint = {
	readonly address: string;
	readonly peerPort: number;
};

/** Connections to and from peers. */
export type PeerStreams = {
	/** Sends one message; drops it if the peer can't be reached or reads too slowly. */
	readonly send: (to: PeerEndpoint, message: Buffer) => void;
	/** True while a message from this peer is partly received and more of it arrived recently. */
	readonly isReceivingFrom: (from: PeerEndpoint) => boolean;
	/** Makes the next message to an unresponsive peer open a new connection; data queued on the current one is still sent. */
	readonly reconnect: (to: PeerEndpoint) => void;
	readonly close: () => void;
};

/** Address to listen on and the handler for received messages. */
export type PeerStreamsOptions = PeerEndpoint & {
	/** Returns false to close the connection. */
	readonly onMessage: (message: Buffer) => boolean;
};

/** A connection opened by a peer. */
type IncomingStream = {
	/** True while a message is partly received and not stalled. */
	readonly isReceiving: () => boolean;
};

const readFrames = (socket: net.Socket, onMessage: (message: Buffer) => boolean): IncomingStream => {
	const reader = createFrameReader();
	let lastBytesMs = 0;
	socket.on('data', bytes => {
		lastBytesMs = performance.now();
		const payloads = reader.push(bytes);
		if (payloads.isErr() || !payloads.value.every(payload => onMessage(payload))) {
			socket.destroy();
		}
	});
	return {isReceiving: () => reader.hasPartialFrame() && performance.now() - lastBytesMs < stalledMessageMs};
};

/** Starts listening for peers. */
export const createPeerStreams = async (options: PeerStreamsOptions): Promise<PeerStreams> => {
	const outgoing = new Map<string, net.Socket>();
	/** All open outgoing sockets, including replaced ones that still send queued data. */
	const outgoingSockets = new Set<net.Socket>();
	const incoming = new Map<net.Socket, IncomingStream>();

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
		outgoingSockets.add(socket);
		prepare(socket, () => {
			outgoingSockets.delete(socket);
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
			if (socket.writable && socket.writableLength < maxPendingBytes) {
				socket.write(encodeFrame(message));
			}
		},
		isReceivingFrom: ({address}) => [...incoming].some(([{remoteAddress}, {isReceiving}]) => remoteAddress === address && isReceiving()),
		reconnect(to) {
			outgoing.get(keyOf(to))?.end();
			outgoing.delete(keyOf(to));
		},
		close() {
			server.close();
			for (const socket of [...outgoingSockets, ...incoming.keys()]) {
				socket.destroy();
			}
		},
	};
};
