/** Statements about members as rows without field names: membership is most of what gateways tell each other. */

import type {EntryHost, MemberMessage, MemberUpdate} from '@egretwing/core';

/** A host; the last field is null where it does not say how strong it is. */
export type HostRow = readonly [
	hostId: string, address: string, region: string, dataCentre: string, state: EntryHost['state'],
	entryPort: number, locatePort: number, peerPort: number, capacity: number | null,
];

/** A statement about a member. */
export type MemberRow = readonly [
	host: HostRow, incarnation: number, status: MemberUpdate['status'],
	entryState: MemberUpdate['entryState'], entryIncarnation: number, suspectedBy: readonly string[],
];

type WithoutUpdates<Message> = Message extends {readonly updates: unknown} ? Omit<Message, 'updates'> & {readonly updates: readonly MemberRow[]} : Message;

/** A message about membership as it travels. */
export type MemberRowsMessage = WithoutUpdates<MemberMessage>;

/** The row of a host. */
export const toHostRow = ({hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, capacity}: EntryHost): HostRow =>
	[hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, capacity ?? null];

/** The host of a row. */
export const fromHostRow = ([hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, capacity]: HostRow): EntryHost => ({
	role: 'entry', hostId, address, region, dataCentre, state, entryPort, locatePort, peerPort, ...(capacity !== null && {capacity}),
});

const toMemberRow = ({host, incarnation, status, entryState, entryIncarnation, suspectedBy}: MemberUpdate): MemberRow =>
	[toHostRow(host), incarnation, status, entryState, entryIncarnation, suspectedBy];

const fromMemberRow = ([host, incarnation, status, entryState, entryIncarnation, suspectedBy]: MemberRow): MemberUpdate => ({
	host: fromHostRow(host), incarnation, status, entryState, entryIncarnation, suspectedBy,
});

/** The message with rows in place of statements. */
export const toMemberRows = (message: MemberMessage): MemberRowsMessage =>
	'updates' in message ? {...message, updates: message.updates.map(update => toMemberRow(update))} : message;

/** The message with statements in place of rows. */
export const fromMemberRows = (message: MemberRowsMessage): MemberMessage =>
	'updates' in message ? {...message, updates: message.updates.map(row => fromMemberRow(row))} : message;
