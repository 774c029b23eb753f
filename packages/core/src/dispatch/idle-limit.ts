/**
 * How long a connection may have been idle for a request that must not be lost with it.
 *
 * Answers the load in which instances forget idle connections without notice: what is sent next on such a connection is
 * reset. One reset says little, since failing instances reset as well; a second within moments is taken for it.
 */

import {
	idleLossMemoryMs, idleLossWindowMs, minIdleLossMs,
} from './constants.ts';

/** What is believed of idle connections at one gateway. */
export type IdleLimit = {
	/** A request was reset on a connection that had been idle for `idleMs`. */
	readonly recordReset: (idleMs: number, nowMs: number) => void;
	/** Idle time up to which a connection may carry a request that can't be repeated; undefined while nothing speaks against any. */
	readonly limitMs: (nowMs: number) => number | undefined;
};

type Reset = {
	readonly atMs: number;
	readonly idleMs: number;
};

/** Part of the shortest idle time that was fatal which is still trusted. */
const trustedShare = 0.5;

/** Creates the belief that idle connections are kept. */
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

			const fatalMs = resets.filter(({atMs}) => nowMs - atMs < idleLossMemoryMs).map(({idleMs}) => idleMs);
			return trustedShare * Math.min(...fatalMs);
		},
	};
};
