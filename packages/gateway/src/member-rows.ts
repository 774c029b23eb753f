/** Member updates as rows without field names, since most messages between gateways are about membership. */

import type {EntryHost, MemberMessage, MemberUpdate} from '@egretwing/core';

/** A host; `capacity` is null where the host does not state it. */
export type HostRow = readonly [
	hostId: string, address: string, region: string, dataCentre: string, state: EntryHost['state'],
	entryPort: number, locatePort: number, peerPort: number, capacity: number | null,
];

/** An update about a member. */
export type MemberRow = readonly [
	host: HostRow, incarnation: number, status: MemberUpdate['status'],
	entryState: MemberUpdate['entryState'], entryIncarnation: number, suspectedBy: readonly string[],
];

type WithoutUpdates<Message> = Message extends {readonly updates: unknown} ? Omit<Message, 'updates'> & {readonly updates: readonly MemberRow[]} : Message;

/** A membership message in its wire form. */
export type MemberRowsMessage = WithoutUpdates<MemberMessage>;

/** Converts a host to a row. */
export const toHostRow = ({hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, capacity}: EntryHost): HostRow =>
	[hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, capacity ?? null];

/** Converts a row to a host. */
export const fromHostRow = ([hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, capacity]: HostRow): EntryHost => ({
	role: 'entry', hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, ...(capacity !== null && {capacity}),
});

const toMemberRow = ({host, incarnation, status, entryState, entryIncarnation, suspectedBy}: MemberUpdate): MemberRow =>
	[toHostRow(host), incarnation, status, entryState, entryIncarnation, suspectedBy];

const fromMemberRow = ([host, incarnation, status, entryState, entryIncarnation, suspectedBy]: MemberRow): MemberUpdate => ({
	host: fromHostRow(host), incarnation, status, entryState, entryIncarnation, suspectedBy,
});

/** Replaces the updates of a message by rows. */
export const toMemberRows = (message: MemberMessage): MemberRowsMessage =>
	'updates' in message ? {...message, updates: message.updates.map(update => toMemberRow(update))} : message;

/** Replaces the rows of a message by updates. */
export const fromMemberRows = (message: MemberRowsMessage): MemberMessage =>
	'updates' in message ? {...message, updates: message.updates.map(row => fromMemberRow(row))} : message;
