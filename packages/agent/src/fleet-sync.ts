/** Synchronises membership, configuration and host list with the other agents, and carries messages between entries. */

import {
	createConfigStore, createConfigSync, createMembership, isPresent, selectRelays,
	type ConfigMessage, type ConfigRecord, type ConfigStore, type EntryHost, type EntryState, type HostList, type MemberMessage,
	type MemberSend, type MembershipCounters, type MemberView, type PeerAddress, type Random, type RefusedRecord,
	type SyncStep,
} from '@egretwing/core';
import {createHostListSync, type HostListMessage} from './host-list-sync.ts';
import type {Peers} from './peers.ts';

/** A message between agents. Unknown kinds are ignored. */
type PeerMessage
	= | {readonly kind: 'member'; readonly body: MemberMessage}
		| {readonly kind: 'config'; readonly body: ConfigMessage}
		| {readonly kind: 'hosts'; readonly body: HostListMessage}
		/** Message from the entry of the sending host to the entry of the receiving host. */
		| {readonly kind: 'entry'; readonly body: unknown};

/** Handlers for received data. */
export type FleetSyncHandlers = {
	readonly onRecords: (records: readonly ConfigRecord[]) => void;
	readonly onRefused: (refused: readonly RefusedRecord[]) => void;
	readonly onEntryMessage: (from: string, body: unknown) => void;
	/** Receives the host list of a peer, which may be older than the local one. */
	readonly onHostList: (list: HostList) => void;
};

/** Identity of this agent, its dependencies and handlers. */
export type FleetSyncOptions = FleetSyncHandlers & {
	readonly self: EntryHost;
	readonly incarnation: number;
	readonly random: Random;
	readonly nowMs: () => number;
	readonly peers: () => Peers;
	readonly relaysPerDataCentre: number;
	/** Returns the local host list; its sequence is negative before the first one was read. */
	readonly hostList: () => HostList;
};

/** Synchronisation of an agent with the fleet. */
export type FleetSync = {
	readonly store: ConfigStore;
	readonly receive: (from: PeerAddress, message: unknown) => void;
	readonly tick: () => void;
	readonly setHostList: (hosts: readonly EntryHost[]) => void;
	readonly setEntryState: (state: EntryState, incarnation: number) => void;
	/** Announces to the fleet that this agent shuts down. */
	readonly leave: () => void;
	/** Sends `body` to the entries on the hosts `to`. */
	readonly sendToEntries: (to: readonly string[], body: unknown) => void;
	readonly receiveFeed: (written: readonly unknown[], complete: boolean) => void;
	/** Records that the configuration service could not be read, or that this agent leaves reading to the relays. */
	readonly recordFeedSkipped: () => void;
	/** True while this agent is one of the relays, which read the configuration service. */
	readonly isRelay: () => boolean;
	/** True once the local configuration is complete. */
	readonly isReady: () => boolean;
	/** False while the member list may be out of date, after the start or after a pause of the process. */
	readonly isTrusted: () => boolean;
	readonly members: () => readonly MemberView[];
	/** Increases with every change of the member list. */
	readonly memberVersion: () => number;
	readonly counters: () => MembershipCounters;
};

/** Creates the synchronisation; calls `peers` only when there is a message to send. */
export const createFleetSync = (options: FleetSyncOptions): FleetSync => {
	const {self, random, nowMs, peers} = options;
	const store = createConfigStore();
	const membership = createMembership({
		self, incarnation: options.incarnation, random, nowMs: nowMs(),
	});
	let cachedVersion = -1;
	let members: readonly MemberView[] = [];
	let present = new Map<string, EntryHost>();
	let isSelfRelay = false;

	const refresh = (): void => {
		if (membership.version() === cachedVersion) {
			return;
		}

		cachedVersion = membership.version();
		members = membership.members();
		present = new Map(members.filter(member => isPresent(member)).map(({host}) => [host.hostId, host]));
		isSelfRelay = selectRelays(self.dataCentre, [...present.values()], options.relaysPerDataCentre).includes(self.hostId);
	};

	const otherIds = (): readonly string[] => {
		refresh();
		return [...present.keys()].filter(hostId => hostId !== self.hostId);
	};

	const configSync = createConfigSync({
		store, random, nowMs: nowMs(), peers: otherIds,
	});

	const sendToHost = (hostId: string, message: PeerMessage): void => {
		refresh();
		const host = present.get(hostId);
		if (host !== undefined) {
			peers().sendTo(host, message);
		}
	};

	const applySends = (sends: readonly MemberSend[]): void => {
		for (const {to, message} of sends) {
			peers().sendTo(to, {kind: 'member', body: message} satisfies PeerMessage);
		}
	};

	const applyStep = ({sends, report}: SyncStep): void => {
		if (report !== undefined && report.accepted.length > 0) {
			options.onRecords(report.accepted);
		}

		if (report !== undefined && report.refused.length > 0) {
			options.onRefused(report.refused);
		}

		for (const {to, message} of sends) {
			sendToHost(to, {kind: 'config', body: message});
		}
	};

	const hostListSync = createHostListSync({
		random,
		current: options.hostList,
		onList: options.onHostList,
		peers: otherIds,
		send(hostId, body) {
			sendToHost(hostId, {kind: 'hosts', body});
		},
	});

	const receive = (from: PeerAddress, message: PeerMessage): void => {
		switch (message.kind) {
			case 'member': {
				applySends(membership.receive(from, message.body, nowMs()));
				return;
			}

			case 'config': {
				applyStep(configSync.receive(from.hostId, message.body));
				return;
			}

			case 'hosts': {
				hostListSync.receive(from.hostId, message.body);
				return;
			}

			case 'entry': {
				options.onEntryMessage(from.hostId, message.body);
			}
		}
	};

	return {
		store,
		receive(from, message) {
			receive(from, message as PeerMessage);
		},
		tick() {
			applySends(membership.tick(nowMs()));
			applyStep(configSync.tick(nowMs()));
			hostListSync.tick(nowMs());
		},
		setHostList: membership.setHostList,
		setEntryState(state, incarnation) {
			applySends(membership.setEntryState(state, incarnation, nowMs()));
		},
		leave() {
			applySends(membership.leave(nowMs()));
		},
		sendToEntries(to, body) {
			for (const hostId of to) {
				sendToHost(hostId, {kind: 'entry', body});
			}
		},
		receiveFeed(written, complete) {
			applyStep(configSync.receiveFeed(written, complete));
		},
		recordFeedSkipped: configSync.recordFeedSkipped,
		isRelay() {
			refresh();
			return isSelfRelay;
		},
		isReady: configSync.isReady,
		isTrusted: () => membership.isTrusted(nowMs()),
		members() {
			refresh();
			return members;
		},
		memberVersion: membership.version,
		counters: membership.counters,
	};
};
