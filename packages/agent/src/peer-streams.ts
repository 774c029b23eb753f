/** TCP between agents, for messages that do not fit a datagram. Each connection carries messages one way. */

import net from 'node:net';
import type {Buffer} from 'node:buffer';
import {createFrameReader, frameBytes, listen} from '@egretwing/node';
import type {PeerEndpoint} from './envelope.ts';

/** Time without traffic after which a connection is closed. */
const idleTimeoutMs = 15_000;

/** Bytes that may wait for one slow peer; what comes after is dropped. */
const maxWaitingBytes = 16_777_216;

/** Connections to and from peers. */
export type PeerStreams = {
	/** Sends sealed bytes; dropped when the peer can't be reached or reads too slowly. */
	readonly send: (to: PeerEndpoint, sealed: Buffer) => void;
	readonly close: () => void;
};

/** Where to listen and who takes sealed bytes. */
export type PeerStreamsOptions = PeerEndpoint & {
	/** Returns false to end the connection. */
	readonly onSealed: (sealed: Buffer) => boolean;
};

const readFrames = (socket: net.Socket, onSealed: (sealed: Buffer) => boolean): void => {
	const reader = createFrameReader();
	socket.on('data', bytes => {
		const payloads = reader.push(bytes);
		if (payloads.isErr() || !payloads.value.every(payload => onSealed(payload))) {
			socket.destroy();
		}
	});
};

/** Starts listening for peers. */
export const createPeerStreams = async (options: PeerStreamsOptions): Promise<PeerStreams> => {
	const outgoing = new Map<string, net.Socket>();
	const incoming = new Set<net.Socket>();

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
		incoming.add(socket);
		prepare(socket, () => {
			incoming.delete(socket);
		});
		readFrames(socket, options.onSealed);
	});
	await listen(server, options.peerPort, options.address);

	const connect = ({address, peerPort}: PeerEndpoint, key: string): net.Socket => {
		const socket = net.connect({host: address, port: peerPort, localAddress: options.address});
		outgoing.set(key, socket);
		prepare(socket, () => {
			if (outgoing.get(key) === socket) {
				outgoing.delete(key);
			}
		});
		return socket;
	};

	return {
		send(to, sealed) {
			const key = `${to.address}:${to.peerPort}`;
			const socket = outgoing.get(key) ?? connect(to, key);
			if (socket.writable && socket.writableLength < maxWaitingBytes) {
				socket.write(frameBytes(sealed));
			}
		},
		close() {
			server.close();
			for (const socket of [...outgoing.values(), ...incoming]) {
				socket.destroy();
			}
		},
	};
};
