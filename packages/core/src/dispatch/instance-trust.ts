/**
 * Whether an instance can be trusted with a request, from the answers that this gateway and its peers had of it.
 *
 * Answers the load in which instances fail part of their requests for some seconds while their health check is good:
 * one broken connection is strong evidence, since a sound instance almost never breaks one; an error answer is weak.
 */

import {
	avoidFactor, avoidSuspicion, brokenAvoidMs, goodAnswerRelief, heardDelayMs, maxAvoidMs, maxShedAvoidMs, minBrokenAvoidMs, proofLifetimeMs, serverErrorSuspicion, shedAvoidMs, spreadAvoidMs, suspicionHalfLifeMs, unprovenRisk, unreachableAvoidMs,
} from './constants.ts';
import type {AttemptResult} from './types.ts';

/** What is believed of one life of an instance. */
export type InstanceTrust = {
	/** Learns from the end of an attempt; true when the instance is avoided from now on. */
	readonly observe: (result: AttemptResult, startedAtMs: number, nowMs: number) => boolean;
	/** A request has been in flight for too long; true when the instance is avoided from now on. */
	readonly observeStall: (nowMs: number) => boolean;
	/** A peer had a good answer, or avoids the instance. */
	readonly hear: (goodAtMs: number | undefined, avoidUntilMs: number | undefined, nowMs: number) => void;
	readonly isAvoided: (nowMs: number) => boolean;
	/** True when it is avoided for failures of its own, the last of which it may have recovered from. */
	readonly mayHaveRecovered: (nowMs: number) => boolean;
	/** True when it was avoided, or is new, and no good answer has come since. */
	readonly needsTrial: () => boolean;
	/** Chance that the next request fails, from 0 to 1. */
	readonly risk: (nowMs: number) => number;
	readonly avoidUntilMs: () => number;
	/** Of an answer that this gateway had itself; undefined before the first. */
	readonly ownGoodAtMs: () => number | undefined;
	/** End of the avoidance that follows from this gateway's own evidence about the instance, rather than about the way to it. */
	readonly toldAvoidUntilMs: () => number;
};

/** Creates the trust in an instance of which nothing is known. */
export const createInstanceTrust = (): InstanceTrust => {
	let suspicion = 0;
	let suspicionAtMs = 0;
	let avoidUntilMs = Number.NEGATIVE_INFINITY;
	let toldAvoidUntilMs = Number.NEGATIVE_INFINITY;
	let avoidedAtMs = Number.NEGATIVE_INFINITY;
	/** End of the avoidance for what time does not mend: silence, which may be due to the way to the instance, or a lost address. */
	let lastingUntilMs = Number.NEGATIVE_INFINITY;
	let goodAtMs: number | undefined;
	let ownGoodAtMs: number | undefined;
	let failuresInRow = 0;
	let shedsInRow = 0;

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

	/** For evidence about the instance itself. Silence may be due to the way from this gateway to it, and is not told to others. */
	const avoidAndTell = (durationMs: number, nowMs: number): boolean => {
		toldAvoidUntilMs = Math.max(toldAvoidUntilMs, nowMs + durationMs);
		return avoid(durationMs, nowMs);
	};

	const noteFailure = (startedAtMs: number, nowMs: number): number => {
		// What was sent before the instance was first avoided belongs to the same episode.
		if (startedAtMs >= avoidedAtMs) {
			failuresInRow++;
		}

		setSuspicion(suspicionAt(nowMs) + avoidSuspicion, nowMs);
		return Math.max(minBrokenAvoidMs, brokenAvoidMs * (avoidFactor ** Math.max(0, failuresInRow - 1)));
	};

	const avoidLasting = (durationMs: number, nowMs: number): boolean => {
		lastingUntilMs = Math.max(lastingUntilMs, nowMs + durationMs);
		return avoid(durationMs, nowMs);
	};

	const avoidBroken = (startedAtMs: number, nowMs: number): boolean => avoidAndTell(noteFailure(startedAtMs, nowMs), nowMs);

	const noteGood = (startedAtMs: number, nowMs: number): boolean => {
		shedsInRow = 0;
		ownGoodAtMs = nowMs;
		// An answer to what was sent before the failure proves nothing about the time after it.
		if (startedAtMs >= avoidedAtMs) {
			goodAtMs = nowMs;
			failuresInRow = 0;
			setSuspicion(suspicionAt(nowMs) - goodAnswerRelief, nowMs);
		}

		return false;
	};

	return {
		observe(result, startedAtMs, nowMs) {
			switch (result) {
				case 'good': {
					return noteGood(startedAtMs, nowMs);
				}

				case 'server-error': {
					setSuspicion(suspicionAt(nowMs) + serverErrorSuspicion, nowMs);
					return suspicionAt(nowMs) >= avoidSuspicion && avoidBroken(startedAtMs, nowMs);
				}

				case 'broken': {
					return avoidBroken(startedAtMs, nowMs);
				}

				case 'no-answer': {
					return avoidLasting(noteFailure(startedAtMs, nowMs), nowMs);
				}

				case 'shed': {
					shedsInRow++;
					return avoidAndTell(Math.min(maxShedAvoidMs, shedAvoidMs * (2 ** (shedsInRow - 1))), nowMs);
				}

				case 'unreachable': {
					failuresInRow++;
					return avoidLasting(Math.min(maxAvoidMs, unreachableAvoidMs * (2 ** (failuresInRow - 1))), nowMs);
				}

				case 'replaced': {
					lastingUntilMs = nowMs + maxAvoidMs;
					return avoidAndTell(maxAvoidMs, nowMs);
				}

				case 'abandoned': {
					return false;
				}
			}
		},
		observeStall: nowMs => nowMs >= avoidUntilMs && avoidLasting(noteFailure(nowMs, nowMs), nowMs),
		hear(peerGoodAtMs, peerAvoidUntilMs, nowMs) {
			if (peerGoodAtMs !== undefined && peerGoodAtMs > (goodAtMs ?? Number.NEGATIVE_INFINITY) && peerGoodAtMs > avoidedAtMs) {
				goodAtMs = peerGoodAtMs;
			}

			if (peerAvoidUntilMs === undefined || peerAvoidUntilMs <= avoidUntilMs) {
				return;
			}

			// A repetition that was delayed is no new failure.
			if (peerAvoidUntilMs > avoidUntilMs + heardDelayMs) {
				avoidedAtMs = Math.max(avoidedAtMs, nowMs);
			}

			avoidUntilMs = peerAvoidUntilMs;
			// Failures are not believed for that long: another instance has the address.
			if (peerAvoidUntilMs - nowMs > brokenAvoidMs) {
				lastingUntilMs = peerAvoidUntilMs;
			}
		},
		isAvoided: nowMs => nowMs < avoidUntilMs,
		mayHaveRecovered: nowMs => nowMs < avoidUntilMs && nowMs >= lastingUntilMs && nowMs - avoidedAtMs >= spreadAvoidMs,
		needsTrial: () => goodAtMs === undefined || goodAtMs < avoidedAtMs,
		risk(nowMs) {
			const proofAgeMs = goodAtMs === undefined || goodAtMs < avoidedAtMs ? Number.POSITIVE_INFINITY : nowMs - goodAtMs;
			const unproven = unprovenRisk * (1 - Math.exp(-Math.max(0, proofAgeMs) / proofLifetimeMs));
			return Math.min(1, unproven + (suspicionAt(nowMs) * unprovenRisk));
		},
		avoidUntilMs: () => avoidUntilMs,
		ownGoodAtMs: () => ownGoodAtMs,
		toldAvoidUntilMs: () => toldAvoidUntilMs,
	};
};
