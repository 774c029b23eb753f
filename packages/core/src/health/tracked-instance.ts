/** State that an entry keeps for one instance. */

import {hashText} from '../random.ts';
import type {Instance} from '../platform/types.ts';
import {
	holdJitterShare, maxThreshold, slowStartMs, slowStartWeight, untriedHoldFactor,
} from './constants.ts';
import {createHold, type Hold} from './hold.ts';
import {
	createInstanceScore, createSuccessLog, createTrialRecord, type InstanceScore, type Observations, type SuccessLog, type TrialRecord,
} from './instance-score.ts';
import type {Standing} from './types.ts';

/** A period in which an instance is considered failing, for all entries or for this one only. */
export type Outage = {
	readonly startedAtMs: number;
	/** Time of the first failure that led to the outage. */
	readonly roseAtMs: number;
	readonly holdMs: number;
	/** No trial is made before this time. */
	holdUntilMs: number;
	readonly trials: TrialRecord;
	/** Observations before this time belong to requests sent before the outage. */
	readonly trialsFromMs: number;
	failedTrials: number;
	hasTrial: boolean;
};

/** State of one instance. */
export type TrackedInstance = {
	instance: Instance;
	/** Score from all entries, and from this entry alone. */
	readonly pooled: InstanceScore;
	readonly local: InstanceScore;
	readonly successLog: SuccessLog;
	/** Counts since the start of this entry. */
	succeeded: number;
	failed: number;
	/** Round of the first report with the last change of the evidence. */
	changedRound: number;
	/** Round of the first report after the pooled score rose above zero. */
	roseRound: number;
	/** Lower bound of the time of each peer's last success. */
	readonly peerProofs: Map<string, number>;
	/** Peers that eject the instance or are about to eject it. */
	readonly peerClaims: Set<string>;
	/** Round of the first report with this entry's claim to eject the instance; undefined without a claim. */
	claimedRound: number | undefined;
	outageNumber: number;
	/** Present while the instance fails for all entries. */
	outage: Outage | undefined;
	/** Present while the instance fails for this entry only. */
	localOutage: Outage | undefined;
	readonly outageHold: Hold;
	readonly localOutageHold: Hold;
	lastTrialAtMs: number;
	/** Time at which the slow start began. */
	returnedAtMs: number;
	standing: Standing;
};

const hashRange = 2 ** 32;
const scoreLimit = maxThreshold + 10;

/** Creates the state of `instance`; its slow start begins at `returnedAtMs`. */
export const trackInstance = (instance: Instance, returnedAtMs: number): TrackedInstance => ({
	instance,
	pooled: createInstanceScore(scoreLimit),
	local: createInstanceScore(scoreLimit),
	successLog: createSuccessLog(),
	succeeded: 0,
	failed: 0,
	changedRound: 0,
	roseRound: 0,
	peerProofs: new Map(),
	peerClaims: new Set(),
	claimedRound: undefined,
	outageNumber: 0,
	outage: undefined,
	localOutage: undefined,
	outageHold: createHold(),
	localOutageHold: createHold(),
	lastTrialAtMs: -Infinity,
	returnedAtMs,
	standing: {kind: 'use', weight: 1},
});

/** Adds jitter that depends on the entry and the number of failed trials, so that the entries' trials don't coincide. */
const jitteredHoldMs = (holdMs: number, entryId: string, failedTrials: number): number =>
	holdMs * (1 + (holdJitterShare * hashText(`${entryId}\n${failedTrials}`) / hashRange));

/** Starts an outage whose hold time is taken from `hold`. */
export const startOutage = (hold: Hold, {entryId, roseAtMs}: {readonly entryId: string; readonly roseAtMs: number}, nowMs: number): Outage => {
	const holdMs = hold.next(nowMs);
	return {
		startedAtMs: nowMs,
		roseAtMs,
		holdMs,
		holdUntilMs: nowMs + jitteredHoldMs(holdMs, entryId, 0),
		trials: createTrialRecord(),
		trialsFromMs: nowMs + holdMs,
		failedTrials: 0,
		hasTrial: false,
	};
};

/** Adds observations made during an outage. A failed trial of any entry restarts the hold of `entryId`. */
export const addToOutage = (outage: Outage, seen: Observations, entryId: string, nowMs: number): void => {
	if (nowMs < outage.trialsFromMs) {
		return;
	}

	outage.hasTrial = true;
	outage.trials.add(seen.entryId, seen.succeeded, seen.failed);
	if (seen.failed > 0) {
		outage.failedTrials++;
		outage.holdUntilMs = nowMs + jitteredHoldMs(outage.holdMs, entryId, outage.failedTrials);
	}
};

/** True when trials succeeded, or when none could be made for `untriedHoldFactor` hold times. */
export const isOutageOver = (outage: Outage, nowMs: number): boolean =>
	outage.trials.passed() || (!outage.hasTrial && nowMs - outage.startedAtMs >= untriedHoldFactor * outage.holdMs);

/** Weight of an instance in use; below 1 during the slow start. */
export const slowStartWeightAt = (returnedAtMs: number, nowMs: number): number => {
	const progress = (nowMs - returnedAtMs) / slowStartMs;
	return Math.min(1, Math.max(slowStartWeight, slowStartWeight + ((1 - slowStartWeight) * progress)));
};
