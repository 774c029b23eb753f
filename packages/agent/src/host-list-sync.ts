/**
 * Spreads newer host lists between agents, for times when the platform's host list can't be read.
 *
 * An agent periodically sends the sequence of its list to a random peer; a peer with a newer list replies with it.
 */

import type {HostList, Random} from '@egretwing/core';

const askIntervalMs = 1000;
/** Interval for an agent without a list; shorter because its entry serves no requests until it has one. */
const initialAskIntervalMs = 200;

/** A message of the host list synchronisation. */
export type HostListMessage
	= | {readonly type: 'ask'; readonly sequence: number}
		| {readonly type: 'list'; readonly list: HostList};

/** Dependencies and handlers of the synchronisation. */
export type HostListSyncOptions = {
	readonly random: Random;
	/** Returns the local list; its sequence is negative before the first one was read. */
	readonly current: () => HostList;
	readonly onList: (list: HostList) => void;
	readonly peers: () => readonly string[];
	readonly send: (hostId: string, message: HostListMessage) => void;
};

/** Host list synchronisation of one agent. */
export type HostListSync = {
	readonly tick: (nowMs: number) => void;
	readonly receive: (from: string, message: HostListMessage) => void;
};

export const createHostListSync = (options: HostListSyncOptions): HostListSync => {
	const {random, current, send} = options;
	let nextAskMs = 0;
	return {
		tick(nowMs) {
			const peers = options.peers();
			if (nowMs < nextAskMs || peers.length === 0) {
				return;
			}

			const {sequence} = current();
			nextAskMs = nowMs + (sequence < 0 ? initialAskIntervalMs : askIntervalMs);
			send(peers[Math.floor(random.next() * peers.length)]!, {type: 'ask', sequence});
		},
		receive(from, message) {
			switch (message.type) {
				case 'ask': {
					const list = current();
					if (list.sequence > message.sequence) {
						send(from, {type: 'list', list});
					}

					break;
				}

				case 'list': {
					options.onList(message.list);
					break;
				}
			}
		},
	};
};
