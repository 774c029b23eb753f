/**
 * Sends a request that may run twice to a second instance while the first one is silent for long; the first whole
 * answer wins and the other attempt is cancelled.
 *
 * Answers the load in which instances hold some requests until their time is over.
 */

import type {DispatchPlacement} from '@egretwing/core';
import type {UpstreamOutcome} from './upstream.ts';

/** An attempt under way. */
export type RunningAttempt = {
	readonly placement: DispatchPlacement;
	readonly ended: Promise<UpstreamOutcome>;
	readonly abort: () => void;
};

/** An attempt that has ended. */
export type EndedAttempt = {
	readonly placement: DispatchPlacement;
	readonly outcome: UpstreamOutcome;
	/** True when it was cancelled because another attempt was answered. */
	readonly isLoser: boolean;
};

/** When and how a second attempt is made. */
export type HedgeOptions = {
	/** Silence of the first attempt after which a second one is made. */
	readonly afterMs: number;
	/** Starts the second attempt; undefined when there is no room for it. */
	readonly startSecond: () => RunningAttempt | undefined;
	readonly isGood: (outcome: UpstreamOutcome) => boolean;
};

const waitFor = async (attempt: RunningAttempt): Promise<EndedAttempt> => ({
	placement: attempt.placement, outcome: await attempt.ended, isLoser: false,
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

/** Ends the attempt, with a second one if it is silent; the last of the ended attempts decides. */
export const runHedged = async (first: RunningAttempt, {afterMs, startSecond, isGood}: HedgeOptions): Promise<readonly EndedAttempt[]> => {
	const second = await isSilentAfter(first, afterMs) ? startSecond() : undefined;
	if (second === undefined) {
		return [await waitFor(first)];
	}

	const earlier = await Promise.race([waitFor(first), waitFor(second)]);
	const other = earlier.placement === first.placement ? second : first;
	if (!isGood(earlier.outcome)) {
		return [earlier, await waitFor(other)];
	}

	other.abort();
	return [{...await waitFor(other), isLoser: true}, earlier];
};
