/**
 * Issues prefixes of idempotency keys that name the entry process on this host.
 *
 * The issue time is on the clock of the entry: the last clock value that the entry reported, plus the time since then on
 * the clock of the same host. It is never ahead of the clock of the entry, so at worst a key expires slightly early.
 */

import {
	formatKeyPrefix, resolveAtMostOnceConfig, type Clock, type EntryToAgent, type LocatedKey,
} from '@egretwing/core';

type EntryClock = Extract<EntryToAgent, {type: 'key-clock'}> & {readonly heardAtMs: number};

/** Issuer of key prefixes for the entry process. */
export type KeyIssuer = {
	/** Handles a message of the entry; ignores all but its clock reports. */
	readonly onMessage: (message: EntryToAgent) => void;
	/** Handles the loss of the connection to the entry. */
	readonly onClose: () => void;
	/** Issues a prefix; returns `undefined` while no entry has reported its clock. */
	readonly issue: (lifetimeMs: number) => LocatedKey | undefined;
};

/** Creates an issuer that measures time on `clock`. */
export const createKeyIssuer = (clock: Clock): KeyIssuer => {
	let entryClock: EntryClock | undefined;
	return {
		onMessage(message) {
			if (message.type === 'key-clock') {
				entryClock = {...message, heardAtMs: clock.nowMs()};
			}
		},
		onClose() {
			entryClock = undefined;
		},
		issue(lifetimeMs) {
			if (!entryClock) {
				return undefined;
			}

			const {hostId, incarnation} = entryClock;
			const issuedAtMs = entryClock.clockMs + clock.nowMs() - entryClock.heardAtMs;
			const boundedMs = Math.floor(Math.min(lifetimeMs, resolveAtMostOnceConfig().maxLifetimeMs));
			const prefix = formatKeyPrefix({
				hostId, incarnation, issuedAtMs, lifetimeMs: boundedMs,
			});
			return {hostId, prefix, lifetimeMs: boundedMs};
		},
	};
};
