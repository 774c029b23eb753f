/** Likelihood ratios, alarm threshold and detection bound of Page's cumulative sum test (CUSUM). */

import {
	failingFailureShare, maxHealthyFailureShare, maxThreshold, minHealthyFailureShare, minObservationsPerSecond, minThreshold, secondsPerDay,
} from './constants.ts';

/** Failure shares under the two hypotheses, each between 0 and 1. */
export type FailureShares = {
	readonly healthy: number;
	readonly failing: number;
};

/** Amount that each outcome of an observation adds to the score, in nats. */
export type ScoreSteps = {
	/** Positive. */
	readonly failed: number;
	/** Negative. */
	readonly succeeded: number;
};

/** Clamps the measured failure share of healthy instances to the range in which the test is meaningful. */
export const failureShares = (measuredShare: number): FailureShares => ({
	healthy: Math.min(maxHealthyFailureShare, Math.max(minHealthyFailureShare, measuredShare)),
	failing: failingFailureShare,
});

/** Log-likelihood ratio of "failing" to "healthy" for each outcome. */
export const scoreSteps = ({healthy, failing}: FailureShares): ScoreSteps => ({
	failed: Math.log(failing / healthy),
	succeeded: Math.log((1 - failing) / (1 - healthy)),
});

/** Kullback-Leibler divergence of "failing" from "healthy", per observation. */
export const divergence = (shares: FailureShares): number => {
	const steps = scoreSteps(shares);
	return (shares.failing * steps.failed) + ((1 - shares.failing) * steps.succeeded);
};

/** Mean number of observations between two false ejections of an instance, at the rate that the operator accepts. */
export const observationsBetweenAlarms = (falseEjectionsPerInstanceDay: number, observationsPerSecond: number): number =>
	Math.max(observationsPerSecond, minObservationsPerSecond) * secondsPerDay / falseEjectionsPerInstanceDay;

/**
 * Score at which an instance is considered failing.
 *
 * The mean number of observations between false alarms is at least `exp(threshold)`, so a threshold of `ln(N)` keeps the
 * configured rate of false ejections.
 */
export const alarmThreshold = (falseEjectionsPerInstanceDay: number, observationsPerSecond: number): number => {
	const threshold = Math.log(observationsBetweenAlarms(falseEjectionsPerInstanceDay, observationsPerSecond));
	return Math.min(maxThreshold, Math.max(minThreshold, threshold));
};

/** Mean number of observations that any detector needs at this false-alarm rate (Lorden's bound). */
export const detectionBound = (falseEjectionsPerInstanceDay: number, observationsPerSecond: number, shares: FailureShares): number =>
	Math.log(observationsBetweenAlarms(falseEjectionsPerInstanceDay, observationsPerSecond)) / divergence(shares);

/** One step of the test: adds `step` and clips the result at zero. */
export const nextScore = (score: number, step: number): number => Math.max(0, score + step);
