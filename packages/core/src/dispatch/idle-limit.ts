/**
 * Limits the idle time of connections that carry non-repeatable requests.
 *
 * Some instances drop idle connections without notice, and the next request on such a connection is reset. One reset is
 * weak evidence, since failing instances reset as well; a second one within `idleLossWindowMs` sets the limit.
 */

import {
	idleLossMemoryMs, idleLossWindowMs, minIdleLossMs,
} from './constants.ts';

/** Limit of the idle time of connections at one gateway. */
export type IdleLimit = {
	/** Records that a request was reset on a connection that had been idle for `idleMs`. */
	readonly recordReset: (idleMs: number, nowMs: number) => void;
	/** Idle time up to which a connection may carry a non-repeatable request; undefined while there is no limit. */
	readonly limitMs: (nowMs: number) => number | undefined;
};

type Reset = {
	readonly atMs: number;
	readonly idleMs: number;
};

/** Share of the shortest idle time before a reset that still counts as safe. */
const safeIdleShare = 0.5;

/** Creates an idle limit without recorded resets. */
export const createIdleLimit = (): IdleLimit => {
	let resets: readonly Reset[] = [];
	let suspectedUntilMs = Number.NEGATIVE_INFINITY;

	return {
		recordReset(idleMs, nowMs) {
			if (idleMs < minIdleLossMs) {
				return;
			}

			resets = [...resets.filter(({atMs}) => nowMs - atMs < idleLossMemoryMs), {atMs: nowMs, idleMs}];
			if (resets.filter(({atMs}) => nowMs - atMs < idleLossWindowMs).length > 1) {
				suspectedUntilMs = nowMs + idleLossMemoryMs;
			}
		},
		limitMs(nowMs) {
			if (nowMs >= suspectedUntilMs) {
				return undefined;
			}

			const idleTimesMs = resets.filter(({atMs}) => nowMs - atMs < idleLossMemoryMs).map(({idleMs}) => idleMs);
			return safeIdleShare * Math.min(...idleTimesMs);
		},
	};
};
