/** Messages between gateways, and how they are written in bytes. */

import type {Buffer} from 'node:buffer';
import type {
	EntryHost, MemberMessage, ReportRow, CatalogueMessage,
} from '@egretwing/core';
import {decodeValue, encodeValue, type PeerEndpoint} from '@egretwing/node';
import type {Result} from 'ts-results-es';
import {
	fromHostRow, fromMemberRows, toHostRow, toMemberRows, type HostRow, type MemberRowsMessage,
} from './member-rows.ts';
import {
	packConfig, packEntries, unpackConfig, unpackEntries,
} from './packed.ts';

/** What gateways tell each other. */
export type MeshMessage
	= | {readonly type: 'member'; readonly message: MemberMessage}
		| {readonly type: 'spread'; readonly message: CatalogueMessage}
		| {readonly type: 'load'; readonly service: string; readonly rows: readonly ReportRow[]}
	/** Asks for the hosts that the receiver knows. */
		| {readonly type: 'join'; readonly host: EntryHost}
		| {readonly type: 'hosts'; readonly hosts: readonly EntryHost[]}
	/** Whether the sender, a reader of the store, gets answers from it. */
		| {readonly type: 'store'; readonly isReachable: boolean};

/** Sender of a message. */
export type MeshPeer = PeerEndpoint & {readonly hostId: string};

type State = Extract<CatalogueMessage, {type: 'state'}>;

/** A state as it travels: with its parts packed, or plain as gateways of the previous version send it. */
type WireState = State & {readonly packedConfig?: Uint8Array; readonly packedEntries?: Uint8Array};

/** A message about the catalogue as it travels. */
type SpreadWireMessage = Exclude<CatalogueMessage, State> | WireState;

/** Messages as they travel: hosts and members as rows, configurations packed. */
type WireMessage
	= | Exclude<MeshMessage, {type: 'member' | 'spread' | 'join' | 'hosts'}>
		| {readonly type: 'spread'; readonly message: SpreadWireMessage}
		| {readonly type: 'member'; readonly message: MemberRowsMessage}
		| {readonly type: 'join'; readonly host: HostRow}
		| {readonly type: 'hosts'; readonly hosts: readonly HostRow[]};

/** Without field names, since it goes with every message. */
type Envelope = readonly [hostId: string, address: string, peerPort: number, message: WireMessage];

const packSpread = (message: CatalogueMessage): SpreadWireMessage => {
	if (message.type !== 'state') {
		return message;
	}

	const {config, entries, ...others} = message;
	return {
		...others,
		...(config !== undefined && {packedConfig: packConfig(config)}),
		...(entries !== undefined && (message.isPacked === true ? {packedEntries: packEntries(entries)} : {entries})),
	};
};

const unpackSpread = (message: SpreadWireMessage): CatalogueMessage => {
	if (message.type !== 'state') {
		return message;
	}

	const {packedConfig, packedEntries, ...others} = message;
	return {
		...others,
		...(packedConfig !== undefined && {config: unpackConfig(packedConfig)}),
		...(packedEntries !== undefined && {entries: unpackEntries(packedEntries)}),
	};
};

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

		case 'spread': {
			return {type: 'spread', message: packSpread(message.message)};
		}

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

		case 'spread': {
			return {type: 'spread', message: unpackSpread(message.message)};
		}

		case 'load':
		case 'store': {
			return message;
		}
	}
};

/** The bytes of a message of `from`. */
export const encodeMessage = ({hostId, address, peerPort}: MeshPeer, message: MeshMessage): Buffer => {
	const envelope: Envelope = [hostId, address, peerPort, toWire(message)];
	return encodeValue(envelope);
};

/** The message in `bytes` and its sender; throws where the value isn't one. */
export const decodeMessage = (bytes: Uint8Array): Result<{readonly from: MeshPeer; readonly message: MeshMessage}, 'undecodable'> =>
	decodeValue(bytes).map(value => {
		const [hostId, address, peerPort, message] = value as Envelope;
		return {from: {hostId, address, peerPort}, message: fromWire(message)};
	});
