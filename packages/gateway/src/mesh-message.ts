/** Messages between gateways and their encoding. */

import type {Buffer} from 'node:buffer';
import type {
	EntryHost, InstanceRun, MemberMessage, QuotaReport, ReportRow, CatalogueMessage,
} from '@egretwing/core';
import {decodeValue, encodeValue, type PeerEndpoint} from '@egretwing/node';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	fromHostRow, fromMemberRows, toHostRow, toMemberRows, type HostRow, type MemberRowsMessage,
} from './member-rows.ts';
import {isConfig, isEntries, isEnvelope} from './message-schema.ts';
import {
	packConfig, packEntries, unpackConfig, unpackEntries,
} from './packed.ts';

/** A message from one gateway to another. */
export type MeshMessage
	= | {readonly type: 'member'; readonly message: MemberMessage}
		| {readonly type: 'spread'; readonly message: CatalogueMessage}
		| {readonly type: 'load'; readonly service: string; readonly rows: readonly ReportRow[]}
	/** Introduces the sender and asks for the hosts that the receiver knows. */
		| {readonly type: 'join'; readonly host: EntryHost}
		| {readonly type: 'hosts'; readonly hosts: readonly EntryHost[]}
	/**
	 * Whether the store answers the sender, which is one of its readers, and if not, since when it has answered no reader as far as
	 * the sender knows. A reader whom it answers again is told by the others for how long it has answered them.
	 */
		| {readonly type: 'store'; readonly isReachable: boolean; readonly failingForMs?: number; readonly readingForMs?: number}
	/** An instance has told the sender that it leaves. */
		| {readonly type: 'leaving'; readonly run: InstanceRun}
	/** Use of workspaces at the sender. A gateway of an earlier version passes over it. */
		| {readonly type: 'quota'; readonly report: QuotaReport};

/** Sender of a message. */
export type MeshPeer = PeerEndpoint & {readonly hostId: string};

type State = Extract<CatalogueMessage, {type: 'state'}>;

/** Wire form of a state: its parts are packed, or plain as gateways of the previous version send them. */
type WireState = State & {readonly packedConfig?: Uint8Array; readonly packedEntries?: Uint8Array};

/** Wire form of a message about the catalogue. */
type CatalogueWireMessage = Exclude<CatalogueMessage, State> | WireState;

/** Wire form of messages: hosts and members as rows, configurations packed. */
type WireMessage
	= | Exclude<MeshMessage, {type: 'member' | 'spread' | 'join' | 'hosts'}>
		| {readonly type: 'spread'; readonly message: CatalogueWireMessage}
		| {readonly type: 'member'; readonly message: MemberRowsMessage}
		| {readonly type: 'join'; readonly host: HostRow}
		| {readonly type: 'hosts'; readonly hosts: readonly HostRow[]};

/** A tuple instead of an object, since it is part of every message. */
type Envelope = readonly [hostId: string, address: string, peerPort: number, message: WireMessage];

const packCatalogueMessage = (message: CatalogueMessage): CatalogueWireMessage => {
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

const unpackCatalogueMessage = (message: CatalogueWireMessage): CatalogueMessage => {
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
			return {type: 'spread', message: packCatalogueMessage(message.message)};
		}

		case 'load':
		case 'store':
		case 'leaving':
		case 'quota': {
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
			return {type: 'spread', message: unpackCatalogueMessage(message.message)};
		}

		case 'load':
		case 'store':
		case 'leaving':
		case 'quota': {
			return message;
		}
	}
};

/** A message and its sender. */
export type DecodedMessage = {readonly from: MeshPeer; readonly message: MeshMessage};

/** Why bytes are no message. */
export type MessageError = 'undecodable' | 'malformed';

/** Encodes a message with its sender. */
export const encodeMessage = ({hostId, address, peerPort}: MeshPeer, message: MeshMessage): Buffer => {
	const envelope: Envelope = [hostId, address, peerPort, toWire(message)];
	return encodeValue(envelope);
};

/** Whether the parts that travel packed are of the right form. */
const isWhole = (message: MeshMessage): boolean => {
	if (message.type !== 'spread' || message.message.type !== 'state') {
		return true;
	}

	const {config, entries} = message.message;
	return (config === undefined || isConfig(config)) && (entries === undefined || isEntries(entries));
};

/** Decodes a message and its sender. A message of which one part is not as it must be is refused whole. */
export const decodeMessage = (bytes: Uint8Array): Result<DecodedMessage, MessageError> =>
	decodeValue(bytes).andThen((value): Result<DecodedMessage, MessageError> => {
		if (!isEnvelope(value)) {
			return Err('malformed');
		}

		try {
			const [hostId, address, peerPort, wireMessage] = value as Envelope;
			const message = fromWire(wireMessage);
			return isWhole(message) ? Ok({from: {hostId, address, peerPort}, message}) : Err('malformed');
		} catch {
			// Packed parts that can't be unpacked.
			return Err('malformed');
		}
	});
