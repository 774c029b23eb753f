/** The cumulative score of one instance and the evidence of each entry behind it. */

import {contradictionLimit, contradictingSuccesses, trialSuccesses} from './constants.ts';
import {nextScore, type ScoreSteps} from './likelihood.ts';

const minFailuresToAgree = 0.9;

/** Observations of one entry since the score rose above zero. */
type EntryCounts = {succeeded: number; failed: number};

/** Observations of one entry to add to a score. */
export type Observations = {
	readonly entryId: string;
	readonly succeeded: number;
	readonly failed: number;
};

/** Score of one instance from the observations of one or more entries. */
export type InstanceScore = {
	readonly value: () => number;
	/** Adds observations of one entry. */
	readonly add: (observations: Observations, steps: ScoreSteps, nowMs: number) => void;
	/** Score that the observations since the rise above zero give with `steps`; at most `value()`. */
	readonly valueWith: (steps: ScoreSteps) => number;
	/** Entries whose observations since the rise above zero indicate a failing instance. */
	readonly failingAt: (steps: ScoreSteps) => readonly string[];
	/** Number of entries whose observations since the rise above zero indicate a healthy instance. */
	readonly workingCount: (steps: ScoreSteps) => number;
	/** Weight of one entry's observations since the rise above zero; negative if they indicate a healthy instance. */
	readonly weightOf: (entryId: string, steps: ScoreSteps) => number;
	/** True when the entries that see the instance work contradict that it fails for all entries. */
	readonly isContradicted: (steps: ScoreSteps) => boolean;
	/** When the score rose above zero; undefined while it is zero. */
	readonly roseAtMs: () => number | undefined;
	readonly reset: () => void;
};

/** Creates a score of zero that never exceeds `limit`. */
export const createInstanceScore = (limit: number): InstanceScore => {
	const countsByEntry = new Map<string, EntryCounts>();
	let score = 0;
	let roseAtMs: number | undefined;

	const weightOfCounts = ({succeeded, failed}: EntryCounts, steps: ScoreSteps): number =>
		(succeeded * steps.succeeded) + (failed * steps.failed);

	const reset = (): void => {
		score = 0;
		roseAtMs = undefined;
		countsByEntry.clear();
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
			const counts = countsByEntry.get(entryId) ?? {succeeded: 0, failed: 0};
			counts.succeeded += succeeded;
			counts.failed += failed;
			countsByEntry.set(entryId, counts);
		},
		valueWith(steps) {
			let value = 0;
			for (const counts of countsByEntry.values()) {
				value += weightOfCounts(counts, steps);
			}

			return Math.min(score, value);
		},
		failingAt: steps => [...countsByEntry].filter(([, counts]) => counts.failed >= minFailuresToAgree && weightOfCounts(counts, steps) > 0).map(([entryId]) => entryId),
		workingCount: steps => [...countsByEntry.values()].filter(counts => weightOfCounts(counts, steps) < 0).length,
		weightOf(entryId, steps) {
			const counts = countsByEntry.get(entryId);
			return counts ? weightOfCounts(counts, steps) : 0;
		},
		isContradicted(steps) {
			let contradiction = 0;
			for (const counts of countsByEntry.values()) {
				contradiction -= Math.min(0, weightOfCounts(counts, steps));
			}

			return contradiction >= contradictionLimit;
		},
		roseAtMs: () => roseAtMs,
		reset,
	};
};

/** The last successes of an entry at an instance, which can contradict a peer's report that the instance fails. */
export type SuccessLog = {
	readonly recordSuccess: (atMs: number) => void;
	readonly recordFailure: (atMs: number) => void;
	/** True if at least `contradictingSuccesses` requests succeeded and none failed since `sinceMs`. */
	readonly contradictsFailureSince: (sinceMs: number) => boolean;
	readonly lastSuccessAtMs: () => number | undefined;
};

/** Creates an empty log. */
export const createSuccessLog = (): SuccessLog => {
	let recent: readonly number[] = [];
	let lastFailureAtMs = -Infinity;
	return {
		recordSuccess(atMs) {
			recent = [...recent.slice(1 - contradictingSuccesses), atMs];
		},
		recordFailure(atMs) {
			lastFailureAtMs = atMs;
		},
		contradictsFailureSince: sinceMs => lastFailureAtMs < sinceMs && recent.length === contradictingSuccesses && (recent[0] ?? -Infinity) >= sinceMs,
		lastSuccessAtMs: () => recent.at(-1),
	};
};

/** Consecutive successful trial requests of each entry, which end an ejection. */
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
