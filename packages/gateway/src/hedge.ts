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

/** A moment at which a second attempt may be made. */
export type HedgeChance = {
	/** Time without an answer after which it comes. */
	readonly afterMs: number;
	/** Starts the second attempt; undefined when no slot is free or a limit is reached. */
	readonly startSecond: () => RunningAttempt | undefined;
};

/** When and how a second attempt is made. */
export type HedgeOptions = {
	/** In order of their time; none is used after one that started an attempt. */
	readonly chances: readonly HedgeChance[];
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

/** Starts the second attempt at the first chance that allows it; undefined when the first attempt ends before. */
const startWhenSilent = async (first: RunningAttempt, chances: readonly HedgeChance[]): Promise<RunningAttempt | undefined> => {
	let waitedMs = 0;
	for (const {afterMs, startSecond} of chances) {
		if (!(await isSilentAfter(first, afterMs - waitedMs))) {
			return undefined;
		}

		waitedMs = afterMs;
		const second = startSecond();
		if (second !== undefined) {
			return second;
		}
	}

	return undefined;
};

/** Runs the attempt, and a second one if it is silent; the last of the returned attempts decides the result. */
export const runHedged = async (first: RunningAttempt, {chances, isGood}: HedgeOptions): Promise<readonly EndedAttempt[]> => {
	const second = await startWhenSilent(first, chances);
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
