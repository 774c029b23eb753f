/**
 * Decides how long a request that may be repeated waits for its first instance before it is also sent to a second one.
 *
 * Load pattern: instances that hold some requests until they time out, while their other answers are fast. A second attempt that starts
 * when the objective can't be met any more helps its caller little, so it starts sooner, unless many attempts are already repeated:
 * then the instances are busy, and slow answers are no sign of a held request.
 */

import {earlyHedgeBudgetShare, lateHedgeFactor, minHedgeFactor} from './constants.ts';

/** What the delay depends on. */
export type HedgeSituation = {
	readonly nowMs: number;
	/** Mean service time. */
	readonly serviceMs: number;
	/** Deadline of the latency objective. */
	readonly objectiveAtMs: number;
	/** Used part of the retry budget, from 0 to 1. */
	readonly usedBudgetShare: number;
};

/** Time without an answer after which the request is sent to a second instance. */
export const hedgeDelayMs = ({
	nowMs, serviceMs, objectiveAtMs, usedBudgetShare,
}: HedgeSituation): number => {
	const lateMs = lateHedgeFactor * serviceMs;
	if (usedBudgetShare > earlyHedgeBudgetShare) {
		return lateMs;
	}

	const latestInTimeMs = objectiveAtMs - serviceMs - nowMs;
	return Math.min(lateMs, Math.max(minHedgeFactor * serviceMs, latestInTimeMs));
};
