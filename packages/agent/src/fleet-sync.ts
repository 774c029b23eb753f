/** The agent's part in the fleet: membership and configuration, exchanged with the other agents. */

import {
	createConfigStore, createConfigSync, createMembership, isPresent, selectRelays,
	type ConfigMessage, type ConfigRecord, type ConfigStore, type EntryHost, type EntryState, type HostList, type MemberMessage,
	type MemberSend, type MembershipCounters, type MemberView, type PeerAddress, type Random, type RefusedRecord,
	type SyncStep,
} from '@egretwing/core';
import {createHostListExchange, type HostListMessage} from './host-list-exchange.ts';
import type {Peers} from './peers.ts';

/** A message between agents. Unknown kinds are ignored. */
type PeerMessage
	= | {readonly kind: 'member'; readonly body: MemberMessage}
		| {readonly kind: 'config'; readonly body: ConfigMessage}
		| {readonly kind: 'hosts'; readonly body: HostListMessage}
		/** From the entry of the sender to the entry of the receiver. */
		| {readonly kind: 'entry'; readonly body: unknown};

/** What the exchange tells the agent. */
export type ExchangeHandlers = {
	readonly onRecords: (records: readonly ConfigRecord[]) => void;
	readonly onRefused: (refused: readonly RefusedRecord[]) => void;
	readonly onEntryMessage: (from: string, body: unknown) => void;
	/** A host list that a peer holds; it may be older than the one held here. */
	readonly onHostList: (list: HostList) => void;
};

/** Who takes part. */
export type ExchangeOptions = ExchangeHandlers & {
	readonly self: EntryHost;
	readonly incarnation: number;
	readonly random: Random;
	readonly nowMs: () => number;
	readonly peers: () => Peers;
	readonly relaysPerDataCentre: number;
	/** The host list held; its sequence is below 0 before any was read. */
	readonly hostList: () => HostList;
};

/** The agent's part in the fleet. */
export type Exchange = {
	readonly store: ConfigStore;
	readonly receive: (from: PeerAddress, message: unknown) => void;
	readonly tick: () => void;
	readonly setHostList: (hosts: readonly EntryHost[]) => void;
	readonly setEntry: (state: EntryState, incarnation: number) => void;
	/** Tells the fleet that this agent shuts down. */
	readonly leave: () => void;
	/** Sends `body` to the entries of the hosts `to`. */
	readonly sendToEntries: (to: readonly string[], body: unknown) => void;
	readonly receiveFeed: (written: readonly unknown[], complete: boolean) => void;
	/** The service can't be read, or this agent leaves it to the relays. */
	readonly feedSkipped: () => void;
	/** True while this agent is one of those that watch the configuration service. */
	readonly isRelay: () => boolean;
	/** True once a whole configuration is held. */
	readonly isReady: () => boolean;
	/** True unless the view of the members may be out of date after a sleep or the start. */
	readonly isTrusted: () => boolean;
	readonly members: () => readonly MemberView[];
	/** Rises with every change of the members. */
	readonly memberVersion: () => number;
	readonly counters: () => MembershipCounters;
};

/** Creates the exchange; messages flow once `peers` can be asked. */
export const createExchange = (options: ExchangeOptions): Exchange => {
	const {self, random, nowMs, peers} = options;
	const store = createConfigStore();
	const membership = createMembership({
		self, incarnation: options.incarnation, random, nowMs: nowMs(),
	});
	let cachedVersion = -1;
	let members: readonly MemberView[] = [];
	let present = new Map<string, EntryHost>();
	let relay = false;

	const refresh = (): void => {
		if (membership.version() === cachedVersion) {
			return;
		}

		cachedVersion = membership.version();
		members = membership.members();
		present = new Map(members.filter(member => isPresent(member)).map(({host}) => [host.hostId, host]));
		relay = selectRelays(self.dataCentre, [...present.values()], options.relaysPerDataCentre).includes(self.hostId);
	};

	const otherIds = (): readonly string[] => {
		refresh();
		return [...present.keys()].filter(hostId => hostId !== self.hostId);
	};

	const sync = createConfigSync({
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

	const hostListExchange = createHostListExchange({
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
				applyStep(sync.receive(from.hostId, message.body));
				return;
			}

			case 'hosts': {
				hostListExchange.receive(from.hostId, message.body);
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
			applyStep(sync.tick(nowMs()));
			hostListExchange.tick(nowMs());
		},
		setHostList: membership.setHostList,
		setEntry(state, incarnation) {
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
			applyStep(sync.receiveFeed(written, complete));
		},
		feedSkipped: sync.feedSkipped,
		isRelay() {
			refresh();
			return relay;
		},
		isReady: sync.isReady,
		isTrusted: () => membership.isTrusted(nowMs()),
		members() {
			refresh();
			return members;
		},
		memberVersion: membership.version,
		counters: membership.counters,
	};
};
