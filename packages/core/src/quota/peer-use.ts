/**
 * What a gateway knows of the use of one workspace at its peers, and of the use by earlier runs of gateways that restarted.
 *
 * Answers callers that move between gateways, and gateways that are killed while they admit: their use counts until it has left the window.
 */

import {recentShare} from './constants.ts';
import type {QuotaReport, QuotaRow} from './types.ts';

/** Use at one peer. */
type PeerReport = {
	readonly count: number;
	readonly recentCount: number;
	readonly upMs: number;
	readonly memoryMs: number;
	readonly atMs: number;
};

/** Requests of earlier runs, which leave the window evenly until `untilMs`. */
type FormerUse = {
	readonly count: number;
	readonly atMs: number;
	readonly untilMs: number;
};

/** Known use at the peers of a gateway. */
export type PeerUse = {
	/** `times` are those of the report. */
	readonly record: (peerId: string, times: Pick<QuotaReport, 'upMs' | 'memoryMs'>, row: QuotaRow, nowMs: number) => void;
	/** Counts requests of an earlier run of a gateway that did not report them and has left no trace. */
	readonly recordUnreported: (count: number, leftMs: number, nowMs: number) => void;
	/** Estimated use of a peer now; 0 when it has not reported within a window. */
	readonly of: (peerId: string, nowMs: number) => number;
	/** Time since the last report of a peer; infinite without one. */
	readonly ageMs: (peerId: string, nowMs: number) => number;
	/** Whether a peer admitted requests just before its last report. */
	readonly isBusy: (peerId: string) => boolean;
	/** Peers that have reported within a window. */
	readonly ids: () => Iterable<string>;
	/** Use by earlier runs, and the time until all of it has left the window. */
	readonly former: (nowMs: number) => {readonly count: number; readonly leftMs: number};
	/** For how long use by others has been told to those that have just reported, at most; 0 without one. */
	readonly longestMemoryMs: (silentMs: number, nowMs: number) => number;
	/** Forgets reports that are older than a window; returns whether none is left. */
	readonly prune: (nowMs: number) => boolean;
};

/** By how much a run may seem shorter than it is, since messages take different times, in milliseconds. */
const upToleranceMs = 400;

const noUse: FormerUse = {count: 0, atMs: 0, untilMs: 0};

const formerCountAt = ({count, atMs, untilMs}: FormerUse, nowMs: number): number =>
	nowMs >= untilMs ? 0 : count * (untilMs - nowMs) / (untilMs - atMs);

/** Creates the knowledge of a gateway that has heard nothing. `growMs` is the longest time for which a rate is taken to last. */
export const createPeerUse = (windowMs: number, growMs: () => number): PeerUse => {
	const reports = new Map<string, PeerReport>();
	let former = noUse;

	const useOf = ({count, recentCount, atMs}: PeerReport, nowMs: number): number => {
		const ageMs = nowMs - atMs;
		const perMs = recentCount / (windowMs * recentShare);
		return (count * Math.max(0, 1 - (ageMs / windowMs))) + (ageMs >= windowMs ? 0 : perMs * Math.min(ageMs, growMs()));
	};

	/** Counts the use of a run that has ended as use by nobody that still reports. */
	const addFormer = (count: number, untilMs: number, nowMs: number): void => {
		former = {count: formerCountAt(former, nowMs) + count, atMs: nowMs, untilMs: Math.max(former.untilMs, untilMs)};
	};

	const recordFormer = (count: number, leftMs: number, nowMs: number): void => {
		if (count > formerCountAt(former, nowMs) && leftMs > 0) {
			former = {count, atMs: nowMs, untilMs: nowMs + Math.min(leftMs, windowMs)};
		}
	};

	return {
		record(peerId, {upMs, memoryMs}, [, count, recentCount, , formerCount, formerLeftMs], nowMs) {
			const last = reports.get(peerId);
			const expectedUpMs = last === undefined ? 0 : Math.min(windowMs, last.upMs + nowMs - last.atMs);
			if (last !== undefined && upMs < expectedUpMs - upToleranceMs) {
				addFormer(useOf(last, nowMs), last.atMs + windowMs, nowMs);
			}

			recordFormer(formerCount, formerLeftMs, nowMs);
			reports.set(peerId, {
				count, recentCount, upMs, memoryMs, atMs: nowMs,
			});
		},
		recordUnreported(count, leftMs, nowMs) {
			addFormer(count, nowMs + leftMs, nowMs);
		},
		of(peerId, nowMs) {
			const report = reports.get(peerId);
			return report === undefined ? 0 : useOf(report, nowMs);
		},
		ageMs: (peerId, nowMs) => nowMs - (reports.get(peerId)?.atMs ?? Number.NEGATIVE_INFINITY),
		isBusy: peerId => (reports.get(peerId)?.recentCount ?? 0) > 0,
		ids: () => reports.keys(),
		former: nowMs => ({count: formerCountAt(former, nowMs), leftMs: Math.max(0, former.untilMs - nowMs)}),
		longestMemoryMs(silentMs, nowMs) {
			let longest = 0;
			for (const {memoryMs, atMs} of reports.values()) {
				if (nowMs - atMs <= silentMs) {
					longest = Math.max(longest, memoryMs === 0 ? 0 : memoryMs + nowMs - atMs);
				}
			}

			return longest;
		},
		prune(nowMs) {
			for (const [peerId, {atMs}] of reports) {
				if (nowMs - atMs >= windowMs) {
					reports.delete(peerId);
				}
			}

			return reports.size === 0 && nowMs >= former.untilMs;
		},
	};
};
