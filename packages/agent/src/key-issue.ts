/**
 * Issues prefixes of idempotency keys that name the entry process of this host.
 *
 * The issue time is read on the entry's clock: the entry said what its clock showed, and the time since then passed on
 * the clock of the same host. It is never ahead of the entry's clock, so a key is at worst a little older than it looks.
 */

import {
	formatKeyPrefix, resolveAtMostOnceConfig, type Clock, type EntryToAgent, type LocatedKey,
} from '@egretwing/core';

type Named = Extract<EntryToAgent, {type: 'key-clock'}> & {readonly heardAtMs: number};

/** Knows the entry process that keys name. */
export type KeyIssuer = {
	/** Takes a message of the entry; all but its clock are left alone. */
	readonly onMessage: (message: EntryToAgent) => void;
	/** The entry is gone. */
	readonly onClose: () => void;
	/** A prefix issued now; `undefined` while no entry says its clock. */
	readonly issue: (lifetimeMs: number) => LocatedKey | undefined;
};

/** Creates an issuer that measures time on `clock`. */
export const createKeyIssuer = (clock: Clock): KeyIssuer => {
	let named: Named | undefined;
	return {
		onMessage(message) {
			if (message.type === 'key-clock') {
				named = {...message, heardAtMs: clock.nowMs()};
			}
		},
		onClose() {
			named = undefined;
		},
		issue(lifetimeMs) {
			if (!named) {
				return undefined;
			}

			const {hostId, incarnation} = named;
			const issuedAtMs = named.clockMs + clock.nowMs() - named.heardAtMs;
			const boundedMs = Math.floor(Math.min(lifetimeMs, resolveAtMostOnceConfig().maxLifetimeMs));
			const prefix = formatKeyPrefix({
				hostId, incarnation, issuedAtMs, lifetimeMs: boundedMs,
			});
			return {hostId, prefix, lifetimeMs: boundedMs};
		},
	};
};
