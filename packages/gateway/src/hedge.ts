/**
 * Request hedging: sends a request that may run twice to a second instance when the first one has not answered for a while.
 * The first complete answer wins and the other attempt is cancelled.
 *
 * Covers instances that hold some requests until they time out.
 */

import type {DispatchPlacement} from '@egretwing/core';
import type {UpstreamOutcome} from './upstream.ts';

/** An attempt in progress. */
export type RunningAttempt = {
	readonly placement: DispatchPlacement;
	readonly ended: Promise<UpstreamOutcome>;
	readonly abort: () => void;
};

/** An attempt that has ended. */
export type EndedAttempt = {
	readonly placement: DispatchPlacement;
	readonly outcome: UpstreamOutcome;
	/** Whether it was cancelled because another attempt was answered. */
	readonly isCancelled: boolean;
};

/** When and how a second attempt is made. */
export type HedgeOptions = {
	/** Time without an answer after which a second attempt is made. */
	readonly afterMs: number;
	/** Starts the second attempt; undefined when no slot is free or the retry budget is spent. */
	readonly startSecond: () => RunningAttempt | undefined;
	readonly isGood: (outcome: UpstreamOutcome) => boolean;
};

const toEnded = async (attempt: RunningAttempt): Promise<EndedAttempt> => ({
	placement: attempt.placement, outcome: await attempt.ended, isCancelled: false,
});

const isSilentAfter = async (attempt: RunningAttempt, durationMs: number): Promise<boolean> => {
	let timer: NodeJS.Timeout | undefined;
	const silence = new Promise<boolean>(resolve => {
		timer = setTimeout(resolve, durationMs, true);
	});
	const isSilent = await Promise.race([attempt.ended.then(() => false), silence]);
	clearTimeout(timer);
	return isSilent;
};

/** Runs the attempt, and a second one if it is silent; the last of the returned attempts decides the result. */
export const runHedged = async (first: RunningAttempt, {afterMs, startSecond, isGood}: HedgeOptions): Promise<readonly EndedAttempt[]> => {
	const second = await isSilentAfter(first, afterMs) ? startSecond() : undefined;
	if (second === undefined) {
		return [await toEnded(first)];
	}

	const earlier = await Promise.race([toEnded(first), toEnded(second)]);
	const other = earlier.placement === first.placement ? second : first;
	if (!isGood(earlier.outcome)) {
		return [earlier, await toEnded(other)];
	}

	other.abort();
	return [{...await toEnded(other), isCancelled: true}, earlier];
};
