/** Messages between agents: small ones as UDP datagrams, others over TCP, all authenticated and numbered. */

import dgram from 'node:dgram';
import type {PeerAddress} from '@egretwing/core';
import {
	bindDatagrams, createPeerStreams, createSealer, type PeerEndpoint,
} from '@egretwing/node';
import {createEnvelopeCodec, type EnvelopeError} from './envelope.ts';

/** Largest sealed message that is sent as a datagram, in bytes. */
const maxDatagramBytes = 1200;

/** Number of bytes and messages since the start. */
export type PeerTraffic = {
	readonly sentBytes: number;
	readonly receivedBytes: number;
	readonly sentMessages: number;
	readonly receivedMessages: number;
};

/** The channel of an agent to the other agents. */
export type Peers = {
	/** Sends `message` without waiting for delivery; it may be lost. */
	readonly sendTo: (to: PeerEndpoint, message: unknown) => void;
	readonly traffic: () => PeerTraffic;
	readonly close: () => void;
};

/** Address, identity and keys of the agent, and handlers for received messages. */
export type PeersOptions = PeerEndpoint & {
	readonly hostId: string;
	/** The first key signs, all are accepted for verification. */
	readonly fleetKeys: readonly [string, ...string[]];
	readonly startedMs: number;
	readonly onMessage: (from: PeerAddress, message: unknown) => void;
	readonly onRefused: (reason: EnvelopeError) => void;
};

/** Starts listening on UDP and TCP on the same port; rejects if it can't be bound. */
export const createPeers = async (options: PeersOptions): Promise<Peers> => {
	const {address, peerPort, hostId, startedMs} = options;
	const codec = createEnvelopeCodec({
		hostId, startedMs, endpoint: {address, peerPort}, sealer: createSealer(options.fleetKeys),
	});
	const traffic = {
		sentBytes: 0, receivedBytes: 0, sentMessages: 0, receivedMessages: 0,
	};

	const receive = (bytes: Uint8Array): boolean => {
		traffic.receivedBytes += bytes.length;
		traffic.receivedMessages++;
		const opened = codec.open(bytes);
		if (opened.isErr()) {
			options.onRefused(opened.error);
			return false;
		}

		const {endpoint, message} = opened.value;
		options.onMessage({hostId: opened.value.hostId, ...endpoint}, message);
		return true;
	};

	const datagrams = dgram.createSocket('udp4');
	await bindDatagrams(datagrams, peerPort, address);
	datagrams.on('error', () => {
		// A datagram that could not be sent counts as lost.
	});
	const streams = await createPeerStreams({address, peerPort, onMessage: receive});
	datagrams.on('message', receive);
	let isClosed = false;

	return {
		sendTo(to, message) {
			if (isClosed) {
				return;
			}

			const sealed = codec.seal(to, message);
			traffic.sentBytes += sealed.length;
			traffic.sentMessages++;
			if (sealed.length > maxDatagramBytes) {
				streams.send(to, sealed);
				return;
			}

			datagrams.send(sealed, to.peerPort, to.address, () => {
				// A datagram that could not be sent counts as lost.
			});
		},
		traffic: () => ({...traffic}),
		close() {
			isClosed = true;
			datagrams.close();
			streams.close();
		},
	};
};
