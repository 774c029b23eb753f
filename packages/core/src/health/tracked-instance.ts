/** What an entry remembers of one instance. */

import {hashText} from '../random.ts';
import type {Instance} from '../platform/types.ts';
import {
	holdSpread, maxThreshold, slowStartMs, slowStartWeight, untriedHoldFactor,
} from './constants.ts';
import {createHold, type Hold} from './hold.ts';
import {
	createInstanceScore, createSuccessLog, createTrialRecord, type InstanceScore, type Observations, type SuccessLog, type TrialRecord,
} from './instance-score.ts';
import type {Standing} from './types.ts';

/** A time during which an instance is taken for failing, by all entries or by this one only. */
export type Spell = {
	readonly startedAtMs: number;
	/** First failure that led to the spell. */
	readonly roseAtMs: number;
	readonly holdMs: number;
	/** No trial before this time. */
	holdUntilMs: number;
	readonly trials: TrialRecord;
	/** Observations before this time are of requests from before the spell. */
	readonly trialsFromMs: number;
	failedTrials: number;
	tried: boolean;
};

/** State of one instance. */
export type TrackedInstance = {
	instance: Instance;
	/** Score over all entries, and over this entry alone. */
	readonly pooled: InstanceScore;
	readonly local: InstanceScore;
	readonly log: SuccessLog;
	/** Counts since this entry's start. */
	succeeded: number;
	failed: number;
	/** Round of the next report when the evidence last changed. */
	changedRound: number;
	/** Round of the next report when the pooled score left zero. */
	roseRound: number;
	/** Last time at which each peer certainly saw a success. */
	readonly peerProofs: Map<string, number>;
	/** Peers that eject the instance or are about to. */
	readonly peerClaims: Set<string>;
	/** Round of the first report that told the peers of this entry's claim; undefined without a claim. */
	claimedRound: number | undefined;
	spellNumber: number;
	/** Failing for all entries. */
	spell: Spell | undefined;
	/** Failing for this entry only. */
	cut: Spell | undefined;
	readonly spellHold: Hold;
	readonly cutHold: Hold;
	lastTrialAtMs: number;
	/** Start of the slow start. */
	returnedAtMs: number;
	standing: Standing;
};

const hashRange = 2 ** 32;
const scoreLimit = maxThreshold + 10;

/** Starts to track `instance`; `returnedAtMs` is when its slow start begins. */
export const trackInstance = (instance: Instance, returnedAtMs: number): TrackedInstance => ({
	instance,
	pooled: createInstanceScore(scoreLimit),
	local: createInstanceScore(scoreLimit),
	log: createSuccessLog(),
	succeeded: 0,
	failed: 0,
	changedRound: 0,
	roseRound: 0,
	peerProofs: new Map(),
	peerClaims: new Set(),
	claimedRound: undefined,
	spellNumber: 0,
	spell: undefined,
	cut: undefined,
	spellHold: createHold(),
	cutHold: createHold(),
	lastTrialAtMs: -Infinity,
	returnedAtMs,
	standing: {kind: 'use', weight: 1},
});

/** Spreads the trials of the entries over time, differently after each failed trial. */
const spreadHoldMs = (holdMs: number, entryId: string, failedTrials: number): number =>
	holdMs * (1 + (holdSpread * hashText(`${entryId}\n${failedTrials}`) / hashRange));

/** Starts a spell whose hold is taken from `hold`. */
export const startSpell = (hold: Hold, {entryId, roseAtMs}: {readonly entryId: string; readonly roseAtMs: number}, nowMs: number): Spell => {
	const holdMs = hold.next(nowMs);
	return {
		startedAtMs: nowMs,
		roseAtMs,
		holdMs,
		holdUntilMs: nowMs + spreadHoldMs(holdMs, entryId, 0),
		trials: createTrialRecord(),
		trialsFromMs: nowMs + holdMs,
		failedTrials: 0,
		tried: false,
	};
};

/** Adds what some entry saw during a spell. A failed trial of any entry starts the hold of `entryId` again. */
export const addToSpell = (spell: Spell, seen: Observations, entryId: string, nowMs: number): void => {
	if (nowMs < spell.trialsFromMs) {
		return;
	}

	spell.tried = true;
	spell.trials.add(seen.entryId, seen.succeeded, seen.failed);
	if (seen.failed > 0) {
		spell.failedTrials++;
		spell.holdUntilMs = nowMs + spreadHoldMs(spell.holdMs, entryId, spell.failedTrials);
	}
};

/** True when trials succeeded, or when none could be made for long. */
export const isSpellOver = (spell: Spell, nowMs: number): boolean =>
	spell.trials.passed() || (!spell.tried && nowMs - spell.startedAtMs >= untriedHoldFactor * spell.holdMs);

/** Weight of an instance in use, below 1 while it starts slowly. */
export const slowStartWeightAt = (returnedAtMs: number, nowMs: number): number => {
	const progress = (nowMs - returnedAtMs) / slowStartMs;
	return Math.min(1, Math.max(slowStartWeight, slowStartWeight + ((1 - slowStartWeight) * progress)));
};
