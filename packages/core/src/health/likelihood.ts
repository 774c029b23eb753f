/** Likelihood ratios, alarm threshold and the bound on detection of Page's cumulative sum test (CUSUM). */

import {
	failingShare, maxHealthyShare, maxThreshold, minHealthyShare, minObservationsPerSecond, minThreshold, secondsPerDay,
} from './constants.ts';

/** Failure shares under the two hypotheses, each between 0 and 1. */
export type FailureShares = {
	readonly healthy: number;
	readonly failing: number;
};

/** What one observation adds to the score. */
export type ScoreSteps = {
	/** Positive. */
	readonly failed: number;
	/** Negative. */
	readonly succeeded: number;
};

/** Takes the measured failure share of healthy instances into the range that the test can work with. */
export const failureShares = (measuredShare: number): FailureShares => ({
	healthy: Math.min(maxHealthyShare, Math.max(minHealthyShare, measuredShare)),
	failing: failingShare,
});

/** Log-likelihood ratio of "failing" against "healthy" of each outcome. */
export const scoreSteps = ({healthy, failing}: FailureShares): ScoreSteps => ({
	failed: Math.log(failing / healthy),
	succeeded: Math.log((1 - failing) / (1 - healthy)),
});

/** Kullback-Leibler divergence of "failing" from "healthy", per observation. */
export const divergence = (shares: FailureShares): number => {
	const steps = scoreSteps(shares);
	return (shares.failing * steps.failed) + ((1 - shares.failing) * steps.succeeded);
};

/** Mean number of observations between two false ejections of an instance that the operator accepts. */
export const observationsBetweenAlarms = (falseEjectionsPerInstanceDay: number, observationsPerSecond: number): number =>
	Math.max(observationsPerSecond, minObservationsPerSecond) * secondsPerDay / falseEjectionsPerInstanceDay;

/**
 * Score at which an instance is taken for failing.
 *
 * The mean run between false alarms of the test is at least the exponential of its threshold, so `ln(N)` keeps the dial.
 */
export const alarmThreshold = (falseEjectionsPerInstanceDay: number, observationsPerSecond: number): number => {
	const threshold = Math.log(observationsBetweenAlarms(falseEjectionsPerInstanceDay, observationsPerSecond));
	return Math.min(maxThreshold, Math.max(minThreshold, threshold));
};

/** Observations that any detector needs on average for this false-alarm rate (Lorden's bound). */
export const detectionBound = (falseEjectionsPerInstanceDay: number, observationsPerSecond: number, shares: FailureShares): number =>
	Math.log(observationsBetweenAlarms(falseEjectionsPerInstanceDay, observationsPerSecond)) / divergence(shares);

/** One step of the test: adds `step`, clipped at zero. */
export const nextScore = (score: number, step: number): number => Math.max(0, score + step);
