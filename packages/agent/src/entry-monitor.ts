/** Monitors the state of the entry process on this host through its connection and its messages. */

import type {EntryState, EntryToAgent} from '@egretwing/core';

/** Time without a message after which the entry counts as down. */
const entryTimeoutMs = 2000;

/** Gap between two checks above which the agent itself must have been paused. */
const pauseThresholdMs = 1000;

/** Monitor of the entry process. */
export type EntryMonitor = {
	readonly onMessage: (message: EntryToAgent, nowMs: number) => void;
	readonly onClose: () => void;
	/** Returns the state and incarnation to announce; an entry without a configuration counts as down. */
	readonly check: (nowMs: number, ready: boolean) => {readonly state: EntryState; readonly incarnation: number};
};

/** Creates a monitor whose entry has not connected yet. */
export const createEntryMonitor = (): EntryMonitor => {
	let incarnation = 0;
	let isConnected = false;
	let isDraining = false;
	let lastHeardMs = 0;
	let lastCheckMs = 0;
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
		check(nowMs, ready) {
			lastHeardMs = nowMs - lastCheckMs > pauseThresholdMs ? nowMs : lastHeardMs;
			lastCheckMs = nowMs;
			const isAlive = isConnected && nowMs - lastHeardMs < entryTimeoutMs;
			if (!isAlive || !ready) {
				return {state: 'down', incarnation};
			}

			return {state: isDraining ? 'draining' : 'up', incarnation};
		},
	};
};
