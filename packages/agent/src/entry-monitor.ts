/** Follows the state of the entry process of this host by its session and its messages. */

import type {EntryState, EntryToAgent} from '@egretwing/core';

/** Time without a message from the entry after which it counts as down. */
const silenceMs = 2000;

/** A gap between two looks after which the agent itself has been asleep. */
const sleepGapMs = 1000;

/** What the agent believes of its entry. */
export type EntryWatch = {
	readonly onMessage: (message: EntryToAgent, nowMs: number) => void;
	readonly onClose: () => void;
	/** The state and incarnation to announce; an entry without configuration counts as down. */
	readonly look: (nowMs: number, ready: boolean) => {readonly state: EntryState; readonly incarnation: number};
};

/** Creates the watch of an agent whose entry has not connected. */
export const createEntryWatch = (): EntryWatch => {
	let incarnation = 0;
	let isConnected = false;
	let isDraining = false;
	let lastHeardMs = 0;
	let lastLookMs = 0;
	return {
		onMessage(message, nowMs) {
			lastHeardMs = nowMs;
			if (message.type === 'hello') {
				isDraining &&= message.incarnation === incarnation;
				incarnation = message.incarnation;
				isConnected = true;
			}

			isDraining ||= message.type === 'draining';
		},
		onClose() {
			isConnected = false;
		},
		look(nowMs, ready) {
			lastHeardMs = nowMs - lastLookMs > sleepGapMs ? nowMs : lastHeardMs;
			lastLookMs = nowMs;
			const isHeard = isConnected && nowMs - lastHeardMs < silenceMs;
			if (!isHeard || !ready) {
				return {state: 'down', incarnation};
			}

			return {state: isDraining ? 'draining' : 'up', incarnation};
		},
	};
};
