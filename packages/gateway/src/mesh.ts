/** Transport of messages between gateways: datagrams for short ones that may be lost, streams for the others. */

import dgram from 'node:dgram';
import type {Buffer} from 'node:buffer';
import {
	bindDatagrams, createPeerStreams, type ErrorBarrier, type Logger, type PeerEndpoint,
} from '@egretwing/node';
import {
	decodeMessage, encodeMessage, type MeshMessage, type MeshPeer,
} from './mesh-message.ts';

export type {MeshMessage, MeshPeer} from './mesh-message.ts';

/** Size above which a message goes over a stream, in bytes. */
export const maxDatagramBytes = 1200;

/** Channel to the other gateways. */
export type Mesh = {
	readonly send: (to: PeerEndpoint, message: MeshMessage, transport: 'datagram' | 'stream') => void;
	/** Whether a message of this peer has recently arrived in part and is still incomplete. */
	readonly isReceivingFrom: (from: PeerEndpoint) => boolean;
	/** Uses a new stream for the next message to a peer that does not answer, since the present one may be stuck. */
	readonly reconnect: (to: PeerEndpoint) => void;
	readonly close: () => void;
};

/** Listening address of the mesh, and its callbacks. */
export type MeshOptions = MeshPeer & {
	readonly onMessage: (from: MeshPeer, message: MeshMessage) => void;
	/** Called for each message sent, with its kind and size. */
	readonly onSent: (kind: string, sizeBytes: number) => void;
	readonly logger: Logger;
	readonly errors: ErrorBarrier;
};

const kindOf = (message: MeshMessage): string =>
	message.type === 'member' || message.type === 'spread' ? `${message.type} ${message.message.type}` : message.type;

/** Starts listening for UDP and TCP on one port; rejects when it can't be bound. */
export const createMesh = async ({
	hostId, address, peerPort, onMessage, onSent, logger, errors,
}: MeshOptions): Promise<Mesh> => {
	const receiveBytes = (bytes: Buffer): boolean => {
		try {
			const decoded = decodeMessage(bytes);
			if (decoded.isErr()) {
				logger.warn('peer message could not be decoded', {reason: decoded.error});
				return false;
			}

			onMessage(decoded.value.from, decoded.value.message);
			return true;
		} catch (error) {
			errors.record('peer-message', error);
			return false;
		}
	};

	const datagrams = dgram.createSocket('udp4');
	await bindDatagrams(datagrams, peerPort, address);
	datagrams.on('error', error => {
		logger.debug('datagram socket error', {reason: String(error)});
	});
	datagrams.on('message', receiveBytes);
	const streams = await createPeerStreams({address, peerPort, onMessage: receiveBytes}).catch((error: unknown) => {
		datagrams.close();
		throw error;
	});
	let isClosed = false;

	const sendBytes = (to: PeerEndpoint, bytes: Buffer, transport: 'datagram' | 'stream'): void => {
		if (transport === 'stream' || bytes.length > maxDatagramBytes) {
			streams.send(to, bytes);
			return;
		}

		datagrams.send(bytes, to.peerPort, to.address, () => {
			// A datagram that can't be sent counts as lost, which the protocols tolerate.
		});
	};

	return {
		send(to, message, transport) {
			if (isClosed) {
				return;
			}

			const bytes = encodeMessage({hostId, address, peerPort}, message);
			onSent(kindOf(message), bytes.length);
			// One endpoint that can't be sent to must not keep the messages after it from theirs.
			errors.run('peer-send', () => {
				sendBytes(to, bytes, transport);
			});
		},
		isReceivingFrom: streams.isReceivingFrom,
		reconnect: streams.reconnect,
		close() {
			isClosed = true;
			datagrams.close();
			streams.close();
		},
	};
};
