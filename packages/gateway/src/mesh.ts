/** Messages between gateways: datagrams for short ones that may be lost, streams for the others. */

import dgram from 'node:dgram';
import type {Buffer} from 'node:buffer';
import {
	bindDatagrams, createPeerStreams, type Logger, type PeerEndpoint,
} from '@egretwing/node';
import {
	decodeMessage, encodeMessage, type MeshMessage, type MeshPeer,
} from './mesh-message.ts';

export type {MeshMessage, MeshPeer} from './mesh-message.ts';

/** Largest message that is sent as a datagram, in bytes. */
export const maxDatagramBytes = 1200;

/** Channel to the other gateways. */
export type Mesh = {
	readonly send: (to: PeerEndpoint, message: MeshMessage, transport: 'datagram' | 'stream') => void;
	/** Whether a part of a message of this peer came lately, and the rest is missing. */
	readonly isArriving: (from: PeerEndpoint) => boolean;
	/** Opens another stream to a peer that does not answer; the present one may be stuck. */
	readonly renew: (to: PeerEndpoint) => void;
	readonly close: () => void;
};

/** Where the mesh listens and who takes messages. */
export type MeshOptions = MeshPeer & {
	readonly onMessage: (from: MeshPeer, message: MeshMessage) => void;
	/** Called for each message sent, with its kind and size. */
	readonly onSent: (kind: string, sizeBytes: number) => void;
	readonly logger: Logger;
};

const kindOf = (message: MeshMessage): string =>
	message.type === 'member' || message.type === 'spread' ? `${message.type} ${message.message.type}` : message.type;

/** Starts listening on UDP and TCP at one port; rejects when it can't be bound. */
export const createMesh = async ({
	hostId, address, peerPort, onMessage, onSent, logger,
}: MeshOptions): Promise<Mesh> => {
	const take = (bytes: Buffer): boolean => {
		try {
			const decoded = decodeMessage(bytes);
			if (decoded.isErr()) {
				logger.warn('message of a peer refused', {reason: decoded.error});
				return false;
			}

			onMessage(decoded.value.from, decoded.value.message);
			return true;
		} catch (error) {
			logger.warn('message of a peer refused', {reason: String(error)});
			return false;
		}
	};

	const datagrams = dgram.createSocket('udp4');
	await bindDatagrams(datagrams, peerPort, address);
	datagrams.on('error', error => {
		logger.debug('datagram failed', {reason: String(error)});
	});
	datagrams.on('message', take);
	const streams = await createPeerStreams({address, peerPort, onMessage: take});
	let isClosed = false;

	return {
		send(to, message, transport) {
			if (isClosed) {
				return;
			}

			const bytes = encodeMessage({hostId, address, peerPort}, message);
			onSent(kindOf(message), bytes.length);
			if (transport === 'stream' || bytes.length > maxDatagramBytes) {
				streams.send(to, bytes);
				return;
			}

			datagrams.send(bytes, to.peerPort, to.address, () => {
				// A datagram that could not be sent counts as lost, as the protocols above expect.
			});
		},
		isArriving: streams.isReceivingFrom,
		renew: streams.reconnect,
		close() {
			isClosed = true;
			datagrams.close();
			streams.close();
		},
	};
};
