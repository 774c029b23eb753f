/**
 * Notices that none of the store's readers is running, long before the membership declares them dead.
 *
 * Each gateway pings the readers now and then, so that all gateways together do so many times a second, whatever their number. One
 * that hears from none of them reads the store itself until it does. A wrong verdict costs a few calls to the store, so that
 * no other gateway has to confirm it, and callers are not placed anew.
 */

import type {Random} from '../random.ts';
import {
	maxReaderPingsPerSecond, minReaderPingIntervalMs, readerPingRepeatMs, readerSilenceMs,
} from './constants.ts';

/** Watch over the readers from one gateway's view. */
export type ReaderWatch = {
	/** Records that any message of a member arrived. */
	readonly recordContact: (hostId: string, nowMs: number) => void;
	/**
	 * Returns the readers to ping; to be called on each tick. `readerIds` are the readers elected, none when this gateway is one
	 * of them; `memberCount` is the number of gateways.
	 */
	readonly tick: (readerIds: readonly string[], memberCount: number, nowMs: number) => readonly string[];
	/** True while no reader has been heard from since they were pinged, `readerSilenceMs` ago or longer. */
	readonly isSilent: () => boolean;
};

/** Pings that no reader has answered yet. */
type OpenPings = {readonly firstMs: number; readonly lastMs: number};

/** Creates the watch of a gateway. */
export const createReaderWatch = (random: Random): ReaderWatch => {
	const contactMsById = new Map<string, number>();
	let watchedIds: readonly string[] = [];
	let open: OpenPings | undefined;
	let isSilent = false;
	let nextPingMs: number | undefined;

	const intervalMs = (memberCount: number): number =>
		Math.max(minReaderPingIntervalMs, memberCount * 1000 / maxReaderPingsPerSecond) * (0.75 + (0.5 * random.next()));

	const hasHeardSince = (sinceMs: number): boolean => watchedIds.some(id => (contactMsById.get(id) ?? Number.NEGATIVE_INFINITY) >= sinceMs);

	const ping = (firstMs: number, nowMs: number): readonly string[] => {
		open = {firstMs, lastMs: nowMs};
		return watchedIds;
	};

	const reset = (): void => {
		open = undefined;
		isSilent = false;
	};

	return {
		recordContact(hostId, nowMs) {
			if (watchedIds.includes(hostId)) {
				contactMsById.set(hostId, nowMs);
			}
		},
		tick(readerIds, memberCount, nowMs) {
			watchedIds = readerIds;
			if (readerIds.length === 0 || (open !== undefined && hasHeardSince(open.firstMs))) {
				reset();
			}

			nextPingMs ??= nowMs + (intervalMs(memberCount) * random.next());
			if (open !== undefined) {
				isSilent ||= nowMs - open.firstMs >= readerSilenceMs;
				return nowMs - open.lastMs < readerPingRepeatMs ? [] : ping(open.firstMs, nowMs);
			}

			if (nowMs < nextPingMs) {
				return [];
			}

			nextPingMs = nowMs + intervalMs(memberCount);
			return ping(nowMs, nowMs);
		},
		isSilent: () => isSilent,
	};
};
