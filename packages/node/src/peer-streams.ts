/** TCP connections between hosts of the fleet, for messages too large for a datagram. Each connection is used in one direction. */

import net from 'node:net';
import type {Buffer} from 'node:buffer';
import {createFrameReader, encodeFrame} from './frames.ts';
import {listen} from './http.ts';

/** Time without traffic after which a connection is closed, in milliseconds. */
const idleTimeoutMs = 15_000;

/**
 * Age after which the next message opens a new connection: less than the time for which a change may be late after connections
 * have gone silent. A connection is used in one direction, so that nothing that arrives on it shows that it still works.
 */
const maxConnectionAgeMs = 2000;

/** Maximum number of bytes queued for a slow peer, on all connections to it; further messages are dropped. */
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

/** The connections to one peer. */
type OutgoingStreams = {
	/** All open sockets, including replaced ones that still send queued data. */
	readonly sockets: Set<net.Socket>;
	/** The socket for the next message. */
	current: {readonly socket: net.Socket; readonly openedAtMs: number} | undefined;
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
	const outgoing = new Map<string, OutgoingStreams>();
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

	const keyOf = ({address, peerPort}: PeerEndpoint): string => `${address}:${peerPort}`;

	const streamsTo = (to: PeerEndpoint): OutgoingStreams => {
		const streams = outgoing.get(keyOf(to)) ?? {sockets: new Set(), current: undefined};
		outgoing.set(keyOf(to), streams);
		return streams;
	};

	const connect = (to: PeerEndpoint, streams: OutgoingStreams): net.Socket => {
		const socket = net.connect({host: to.address, port: to.peerPort, localAddress: options.address});
		streams.current = {socket, openedAtMs: performance.now()};
		streams.sockets.add(socket);
		prepare(socket, () => {
			streams.sockets.delete(socket);
			if (streams.current?.socket === socket) {
				streams.current = undefined;
			}

			if (streams.sockets.size === 0) {
				outgoing.delete(keyOf(to));
			}
		});
		return socket;
	};

	/** Closes the current connection once its queued data is sent, however slowly the peer reads. */
	const replace = (streams: OutgoingStreams): void => {
		streams.current?.socket.end();
		streams.current = undefined;
	};

	const socketFor = (to: PeerEndpoint, streams: OutgoingStreams): net.Socket => {
		const {current} = streams;
		if (current !== undefined && performance.now() - current.openedAtMs < maxConnectionAgeMs) {
			return current.socket;
		}

		replace(streams);
		return connect(to, streams);
	};

	return {
		send(to, message) {
			const streams = streamsTo(to);
			const socket = socketFor(to, streams);
			const pendingBytes = [...streams.sockets].reduce((sum, {writableLength}) => sum + writableLength, 0);
			if (socket.writable && pendingBytes < maxPendingBytes) {
				socket.write(encodeFrame(message));
			}
		},
		isReceivingFrom: ({address}) => [...incoming].some(([{remoteAddress}, {isReceiving}]) => remoteAddress === address && isReceiving()),
		reconnect(to) {
			const streams = outgoing.get(keyOf(to));
			if (streams !== undefined) {
				replace(streams);
			}
		},
		close() {
			server.close();
			for (const socket of [...[...outgoing.values()].flatMap(({sockets}) => [...sockets]), ...incoming.keys()]) {
				socket.destroy();
			}
		},
	};
};
