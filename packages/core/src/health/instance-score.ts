/** The running score of one instance, and where its failures were seen. */

import {dissentLimit, objectionSuccesses, trialSuccesses} from './constants.ts';
import {nextScore, type ScoreSteps} from './likelihood.ts';

const failuresToAgree = 0.9;

/** Observations of one entry since a score left zero. */
type Tally = {succeeded: number; failed: number};

/** Observations of one entry to add to a score. */
export type Observations = {
	readonly entryId: string;
	readonly succeeded: number;
	readonly failed: number;
};

/** Score of one instance over some entries. */
export type InstanceScore = {
	readonly value: () => number;
	/** Adds observations of one entry. */
	readonly add: (observations: Observations, steps: ScoreSteps, nowMs: number) => void;
	/** What the observations since the score left zero weigh with other steps. */
	readonly valueWith: (steps: ScoreSteps) => number;
	/** Entries whose observations since the score left zero speak for a failure. */
	readonly failingAt: (steps: ScoreSteps) => readonly string[];
	/** Number of entries whose observations since the score left zero speak against a failure. */
	readonly workingCount: (steps: ScoreSteps) => number;
	/** What the observations of one entry since the score left zero weigh; negative if they speak against a failure. */
	readonly weightOf: (entryId: string, steps: ScoreSteps) => number;
	/** True when entries that see the instance work speak against a failure for all. */
	readonly isContradicted: (steps: ScoreSteps) => boolean;
	/** When the score left zero; undefined while it is zero. */
	readonly roseAtMs: () => number | undefined;
	readonly reset: () => void;
};

/** Creates a score of zero. `limit` keeps it from growing without end. */
export const createInstanceScore = (limit: number): InstanceScore => {
	const tallies = new Map<string, Tally>();
	let score = 0;
	let roseAtMs: number | undefined;

	const weigh = ({succeeded, failed}: Tally, steps: ScoreSteps): number =>
		(succeeded * steps.succeeded) + (failed * steps.failed);

	const reset = (): void => {
		score = 0;
		roseAtMs = undefined;
		tallies.clear();
	};

	return {
		value: () => score,
		add({entryId, succeeded, failed}, steps, nowMs) {
			score = Math.min(limit, nextScore(score, (succeeded * steps.succeeded) + (failed * steps.failed)));
			if (score === 0) {
				reset();
				return;
			}

			roseAtMs ??= nowMs;
			const tally = tallies.get(entryId) ?? {succeeded: 0, failed: 0};
			tally.succeeded += succeeded;
			tally.failed += failed;
			tallies.set(entryId, tally);
		},
		valueWith(steps) {
			let value = 0;
			for (const tally of tallies.values()) {
				value += weigh(tally, steps);
			}

			return Math.min(score, value);
		},
		failingAt: steps => [...tallies].filter(([, tally]) => tally.failed >= failuresToAgree && weigh(tally, steps) > 0).map(([entryId]) => entryId),
		workingCount: steps => [...tallies.values()].filter(tally => weigh(tally, steps) < 0).length,
		weightOf(entryId, steps) {
			const tally = tallies.get(entryId);
			return tally ? weigh(tally, steps) : 0;
		},
		isContradicted(steps) {
			let dissent = 0;
			for (const tally of tallies.values()) {
				dissent -= Math.min(0, weigh(tally, steps));
			}

			return dissent >= dissentLimit;
		},
		roseAtMs: () => roseAtMs,
		reset,
	};
};

/** Remembers the last successes of an entry at an instance, to object to a claim that it fails. */
export type SuccessLog = {
	readonly succeeded: (atMs: number) => void;
	readonly failed: (atMs: number) => void;
	/** True if enough requests succeeded and none failed since `sinceMs`. */
	readonly objects: (sinceMs: number) => boolean;
	readonly lastSuccessAtMs: () => number | undefined;
};

/** Creates an empty log. */
export const createSuccessLog = (): SuccessLog => {
	let recent: readonly number[] = [];
	let lastFailureAtMs = -Infinity;
	return {
		succeeded(atMs) {
			recent = [...recent.slice(1 - objectionSuccesses), atMs];
		},
		failed(atMs) {
			lastFailureAtMs = atMs;
		},
		objects: sinceMs => lastFailureAtMs < sinceMs && recent.length === objectionSuccesses && (recent[0] ?? -Infinity) >= sinceMs,
		lastSuccessAtMs: () => recent.at(-1),
	};
};

/** Successes in a row of each entry, to end an ejection. */
export type TrialRecord = {
	readonly add: (entryId: string, succeeded: number, failed: number) => void;
	readonly passed: () => boolean;
};

/** Creates an empty record. */
export const createTrialRecord = (): TrialRecord => {
	const streaks = new Map<string, number>();
	return {
		add(entryId, succeeded, failed) {
			streaks.set(entryId, failed > 0 ? 0 : (streaks.get(entryId) ?? 0) + succeeded);
		},
		passed: () => [...streaks.values()].some(streak => streak >= trialSuccesses),
	};
};
