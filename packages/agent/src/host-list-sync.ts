/**
 * Lets agents take a newer host list from each other, for times in which the platform's own can't be read.
 *
 * An agent asks one peer after another with the sequence it holds; a peer that holds a newer list answers with it.
 */

import type {HostList, Random} from '@egretwing/core';

const askIntervalMs = 1000;
/** An agent without any list asks more often, since its entry serves nothing until it has one. */
const firstAskIntervalMs = 200;

/** A message of this exchange. */
export type HostListMessage
	= | {readonly type: 'ask'; readonly sequence: number}
		| {readonly type: 'list'; readonly list: HostList};

/** What the exchange works with. */
export type HostListExchangeOptions = {
	readonly random: Random;
	/** The list held; its sequence is below 0 before any was read. */
	readonly current: () => HostList;
	readonly onList: (list: HostList) => void;
	readonly peers: () => readonly string[];
	readonly send: (hostId: string, message: HostListMessage) => void;
};

/** The exchange of one agent. */
export type HostListExchange = {
	readonly tick: (nowMs: number) => void;
	readonly receive: (from: string, message: HostListMessage) => void;
};

/** Creates the exchange. */
export const createHostListExchange = (options: HostListExchangeOptions): HostListExchange => {
	const {random, current, send} = options;
	let nextAskMs = 0;
	return {
		tick(nowMs) {
			const peers = options.peers();
			if (nowMs < nextAskMs || peers.length === 0) {
				return;
			}

			const {sequence} = current();
			nextAskMs = nowMs + (sequence < 0 ? firstAskIntervalMs : askIntervalMs);
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
