/**
 * Passive health estimate of an instance, from the answers that this gateway and its peers got from it.
 *
 * Detects instances that fail part of their requests for some seconds while their health check passes: one broken
 * connection is strong evidence, since a sound instance almost never breaks one; an error answer is weak evidence.
 */

import {
	avoidDecayFactor, avoidSuspicion, brokenAvoidMs, goodAnswerSuspicionDecrease, reportDelayToleranceMs, maxAvoidMs, maxShedAvoidMs, minBrokenAvoidMs, goodAnswerDecayMs, serverErrorSuspicion, shedAvoidMs, recoveryDelayMs, suspicionHalfLifeMs, untestedRisk, unreachableAvoidMs,
} from './constants.ts';
import type {AttemptResult} from './types.ts';

/** Reliability of an instance since its start. */
export type InstanceReliability = {
	/** Records the end of an attempt; returns true when the instance is avoided from now on. */
	readonly observe: (result: AttemptResult, startedAtMs: number, nowMs: number) => boolean;
	/** Records that a request has been in flight for too long; returns true when the instance is avoided from now on. */
	readonly observeStall: (nowMs: number) => boolean;
	/** Lets the instance get one request at a time until it gives a good answer. */
	readonly requireTrial: (nowMs: number) => void;
	/** Records that a peer got a good answer, or avoids the instance. */
	readonly receiveReport: (goodAtMs: number | undefined, avoidUntilMs: number | undefined, nowMs: number) => void;
	readonly isAvoided: (nowMs: number) => boolean;
	/** True when it is avoided for failures of its own and may have recovered from the last one. */
	readonly mayHaveRecovered: (nowMs: number) => boolean;
	/** True when it is new or was avoided, and has given no good answer since. */
	readonly needsTrial: () => boolean;
	/** Probability that the next request fails, from 0 to 1. */
	readonly risk: (nowMs: number) => number;
	readonly avoidUntilMs: () => number;
	/** Age of the last good answer to any gateway; infinite when there was none since the last avoidance. */
	readonly goodAgeMs: (nowMs: number) => number;
	/** Time of the last good answer to this gateway itself; undefined before the first. */
	readonly ownGoodAtMs: () => number | undefined;
	/** End of the avoidance to report to peers: from this gateway's own evidence about the instance rather than its network path. */
	readonly reportedAvoidUntilMs: () => number;
};

/** Creates the estimate of an instance without evidence. */
export const createInstanceReliability = (): InstanceReliability => {
	let suspicion = 0;
	let suspicionAtMs = 0;
	let avoidUntilMs = Number.NEGATIVE_INFINITY;
	let reportedAvoidUntilMs = Number.NEGATIVE_INFINITY;
	let avoidedAtMs = Number.NEGATIVE_INFINITY;
	/** End of the avoidance for causes that do not pass with time alone: no answer or connection, which may be due to the network path, or a lost address. */
	let persistentUntilMs = Number.NEGATIVE_INFINITY;
	let goodAtMs: number | undefined;
	let ownGoodAtMs: number | undefined;
	let failuresInRow = 0;
	let shedsInRow = 0;

	const goodAgeMs = (nowMs: number): number => goodAtMs === undefined || goodAtMs < avoidedAtMs ? Number.POSITIVE_INFINITY : nowMs - goodAtMs;

	const suspicionAt = (nowMs: number): number => suspicion * (0.5 ** (Math.max(0, nowMs - suspicionAtMs) / suspicionHalfLifeMs));

	const setSuspicion = (value: number, nowMs: number): void => {
		suspicion = Math.max(0, value);
		suspicionAtMs = nowMs;
	};

	const avoid = (durationMs: number, nowMs: number): boolean => {
		const wasAvoided = nowMs < avoidUntilMs;
		avoidUntilMs = Math.max(avoidUntilMs, nowMs + durationMs);
		avoidedAtMs = nowMs;
		return !wasAvoided;
	};

	/** For evidence about the instance itself. A missing answer may be due to the network path of this gateway and is not reported. */
	const avoidAndReport = (durationMs: number, nowMs: number): boolean => {
		reportedAvoidUntilMs = Math.max(reportedAvoidUntilMs, nowMs + durationMs);
		return avoid(durationMs, nowMs);
	};

	const recordFailure = (startedAtMs: number, nowMs: number): number => {
		// Requests sent before the avoidance belong to the same episode.
		if (startedAtMs >= avoidedAtMs) {
			failuresInRow++;
		}

		setSuspicion(suspicionAt(nowMs) + avoidSuspicion, nowMs);
		return Math.max(minBrokenAvoidMs, brokenAvoidMs * (avoidDecayFactor ** Math.max(0, failuresInRow - 1)));
	};

	const avoidPersistently = (durationMs: number, nowMs: number): boolean => {
		persistentUntilMs = Math.max(persistentUntilMs, nowMs + durationMs);
		return avoid(durationMs, nowMs);
	};

	const avoidBroken = (startedAtMs: number, nowMs: number): boolean => avoidAndReport(recordFailure(startedAtMs, nowMs), nowMs);

	const recordGood = (startedAtMs: number, nowMs: number): boolean => {
		shedsInRow = 0;
		ownGoodAtMs = nowMs;
		// An answer to a request that was sent before the failure is no evidence about the time after it.
		if (startedAtMs >= avoidedAtMs) {
			goodAtMs = nowMs;
			failuresInRow = 0;
			setSuspicion(suspicionAt(nowMs) - goodAnswerSuspicionDecrease, nowMs);
		}

		return false;
	};

	return {
		observe(result, startedAtMs, nowMs) {
			switch (result) {
				case 'good': {
					return recordGood(startedAtMs, nowMs);
				}

				case 'server-error': {
					setSuspicion(suspicionAt(nowMs) + serverErrorSuspicion, nowMs);
					return suspicionAt(nowMs) >= avoidSuspicion && avoidBroken(startedAtMs, nowMs);
				}

				case 'broken': {
					return avoidBroken(startedAtMs, nowMs);
				}

				case 'no-answer': {
					return avoidPersistently(recordFailure(startedAtMs, nowMs), nowMs);
				}

				case 'shed': {
					shedsInRow++;
					return avoidAndReport(Math.min(maxShedAvoidMs, shedAvoidMs * (2 ** (shedsInRow - 1))), nowMs);
				}

				case 'unreachable': {
					failuresInRow++;
					return avoidPersistently(Math.min(maxAvoidMs, unreachableAvoidMs * (2 ** (failuresInRow - 1))), nowMs);
				}

				case 'replaced': {
					persistentUntilMs = nowMs + maxAvoidMs;
					return avoidAndReport(maxAvoidMs, nowMs);
				}

				case 'abandoned': {
					return false;
				}
			}
		},
		observeStall: nowMs => nowMs >= avoidUntilMs && avoidPersistently(recordFailure(nowMs, nowMs), nowMs),
		requireTrial(nowMs) {
			avoid(0, nowMs);
		},
		receiveReport(peerGoodAtMs, peerAvoidUntilMs, nowMs) {
			if (peerGoodAtMs !== undefined && peerGoodAtMs > (goodAtMs ?? Number.NEGATIVE_INFINITY) && peerGoodAtMs > avoidedAtMs) {
				goodAtMs = peerGoodAtMs;
			}

			if (peerAvoidUntilMs === undefined || peerAvoidUntilMs <= avoidUntilMs) {
				return;
			}

			// A delayed repetition of a report is no new failure.
			if (peerAvoidUntilMs > avoidUntilMs + reportDelayToleranceMs) {
				avoidedAtMs = Math.max(avoidedAtMs, nowMs);
			}

			avoidUntilMs = peerAvoidUntilMs;
			// Failures are reported for `brokenAvoidMs` at most; a longer avoidance means that another instance has the address.
			if (peerAvoidUntilMs - nowMs > brokenAvoidMs) {
				persistentUntilMs = peerAvoidUntilMs;
			}
		},
		isAvoided: nowMs => nowMs < avoidUntilMs,
		mayHaveRecovered: nowMs => nowMs < avoidUntilMs && nowMs >= persistentUntilMs && nowMs - avoidedAtMs >= recoveryDelayMs,
		needsTrial: () => goodAtMs === undefined || goodAtMs < avoidedAtMs,
		risk(nowMs) {
			const staleRisk = untestedRisk * (1 - Math.exp(-Math.max(0, goodAgeMs(nowMs)) / goodAnswerDecayMs));
			return Math.min(1, staleRisk + (suspicionAt(nowMs) * untestedRisk));
		},
		avoidUntilMs: () => avoidUntilMs,
		goodAgeMs,
		ownGoodAtMs: () => ownGoodAtMs,
		reportedAvoidUntilMs: () => reportedAvoidUntilMs,
	};
};
