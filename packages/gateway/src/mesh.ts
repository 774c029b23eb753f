/** Messages between gateways: datagrams for short ones that may be lost, streams for the others. */

import dgram from 'node:dgram';
import type {Buffer} from 'node:buffer';
import type {
	EntryHost, MemberMessage, ReportRow, SpreadMessage,
} from '@egretwing/core';
import {
	bindDatagrams, createPeerStreams, decodeValue, encodeValue, type Logger, type PeerEndpoint,
} from '@egretwing/node';
import {
	fromHostRow, fromMemberRows, toHostRow, toMemberRows, type HostRow, type MemberRowsMessage,
} from './member-rows.ts';

/** Largest message that is sent as a datagram, in bytes. */
const maxDatagramBytes = 1200;

/** What gateways tell each other. */
export type MeshMessage
	= | {readonly type: 'member'; readonly message: MemberMessage}
		| {readonly type: 'spread'; readonly message: SpreadMessage}
		| {readonly type: 'load'; readonly service: string; readonly rows: readonly ReportRow[]}
	/** Asks for the hosts that the receiver knows. */
		| {readonly type: 'join'; readonly host: EntryHost}
		| {readonly type: 'hosts'; readonly hosts: readonly EntryHost[]}
	/** Whether the sender, a reader of the store, gets answers from it. */
		| {readonly type: 'store'; readonly isReachable: boolean};

/** Sender of a message. */
export type MeshPeer = PeerEndpoint & {readonly hostId: string};

/** Channel to the other gateways. */
export type Mesh = {
	readonly send: (to: PeerEndpoint, message: MeshMessage, transport: 'datagram' | 'stream') => void;
	/** Ends the stream to a peer that does not answer. */
	readonly reset: (to: PeerEndpoint) => void;
	readonly close: () => void;
};

/** Where the mesh listens and who takes messages. */
export type MeshOptions = MeshPeer & {
	readonly onMessage: (from: MeshPeer, message: MeshMessage) => void;
	/** Called for each message sent, with its kind and size. */
	readonly onSent: (kind: string, sizeBytes: number) => void;
	readonly logger: Logger;
};

/** Messages as they travel: hosts and members as rows. */
type WireMessage
	= | Exclude<MeshMessage, {type: 'member' | 'join' | 'hosts'}>
		| {readonly type: 'member'; readonly message: MemberRowsMessage}
		| {readonly type: 'join'; readonly host: HostRow}
		| {readonly type: 'hosts'; readonly hosts: readonly HostRow[]};

/** Without field names, since it goes with every message. */
type Envelope = readonly [hostId: string, address: string, peerPort: number, message: WireMessage];

const toWire = (message: MeshMessage): WireMessage => {
	switch (message.type) {
		case 'member': {
			return {type: 'member', message: toMemberRows(message.message)};
		}

		case 'join': {
			return {type: 'join', host: toHostRow(message.host)};
		}

		case 'hosts': {
			return {type: 'hosts', hosts: message.hosts.map(host => toHostRow(host))};
		}

		case 'spread':
		case 'load':
		case 'store': {
			return message;
		}
	}
};

const fromWire = (message: WireMessage): MeshMessage => {
	switch (message.type) {
		case 'member': {
			return {type: 'member', message: fromMemberRows(message.message)};
		}

		case 'join': {
			return {type: 'join', host: fromHostRow(message.host)};
		}

		case 'hosts': {
			return {type: 'hosts', hosts: message.hosts.map(row => fromHostRow(row))};
		}

		case 'spread':
		case 'load':
		case 'store': {
			return message;
		}
	}
};

const kindOf = (message: MeshMessage): string =>
	message.type === 'member' || message.type === 'spread' ? `${message.type} ${message.message.type}` : message.type;

/** Starts listening on UDP and TCP at one port; rejects when it can't be bound. */
export const createMesh = async ({
	hostId, address, peerPort, onMessage, onSent, logger,
}: MeshOptions): Promise<Mesh> => {
	const take = (bytes: Buffer): boolean => {
		const decoded = decodeValue(bytes);
		if (decoded.isErr()) {
			logger.warn('message of a peer refused', {reason: decoded.error});
			return false;
		}

		try {
			const [fromId, fromAddress, fromPort, message] = decoded.value as Envelope;
			onMessage({hostId: fromId, address: fromAddress, peerPort: fromPort}, fromWire(message));
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

			const envelope: Envelope = [hostId, address, peerPort, toWire(message)];
			const bytes = encodeValue(envelope);
			onSent(kindOf(message), bytes.length);
			if (transport === 'stream' || bytes.length > maxDatagramBytes) {
				streams.send(to, bytes);
				return;
			}

			datagrams.send(bytes, to.peerPort, to.address, () => {
				// A datagram that could not be sent counts as lost, as the protocols above expect.
			});
		},
		reset: streams.reset,
		close() {
			isClosed = true;
			datagrams.close();
			streams.close();
		},
	};
};
