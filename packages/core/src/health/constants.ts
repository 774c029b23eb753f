/** Constants of the ejection of failing instances. */

const msPerSecond = 1000;

/** Seconds in a day. */
export const secondsPerDay = 86_400;

/** Healthy failure share assumed at least, so that one failure never weighs too much. */
export const minHealthyShare = 0.01;

/** Healthy failure share assumed at most; above it the service as a whole fails. */
export const maxHealthyShare = 0.25;

/** Failure share of a failing instance, the alternative that the score tests for. */
export const failingShare = 0.5;

/** Limits of the alarm threshold, in natural-logarithm units. */
export const minThreshold = 6;
export const maxThreshold = 30;

/** Observations per second assumed for an instance before any was made. */
export const minObservationsPerSecond = 0.1;

/** Time constant of the observation rate and of the usual failure share. */
export const baselineTimeMs = 30 * msPerSecond;

/** Time constant by which a disturbance of the whole service is noticed. */
export const disturbanceTimeMs = 2 * msPerSecond;

/** Share of the instances, the worst ones, that is left out when a disturbance is measured. */
export const trimmedShare = 0.1;

/** Weight of the least healthy share when a disturbance is measured, in observations. */
export const priorObservations = 25;

/** Failures of one instance that count at most when a disturbance is measured. */
export const maxFailuresEach = 3;

/** Weight of a positive answer of a health endpoint, in successes. */
export const probeSuccessWeight = 0.02;

/** Weight of a negative answer of a health endpoint, in failures. */
export const probeFailureWeight = 0.25;

/** Share of the threshold that negative answers of a health endpoint can reach alone. */
export const probeScoreShare = 0.5;

/** How long a success proves that an instance is healthy. */
export const proofMs = 10 * msPerSecond;

/** Age after which what a peer entry reported no longer counts. */
export const reportLifetimeMs = 3 * msPerSecond;

/** Interval between two reports of an entry. */
export const reportIntervalMs = 500;

/** Shortest interval between two reports when the score of an instance rises. */
export const urgentReportIntervalMs = 100;

/** Rounds for which a changed count is repeated, against a lost report. */
export const repeatRounds = 4;

/** Every so many rounds a report is whole. */
export const wholeReportRounds = 10;

/** A gap between two ticks that shows that this process was paused. */
export const pauseGapMs = 2 * msPerSecond;

/** Log-likelihood of entries without a failure at which an instance is sick for some entries only. */
export const dissentLimit = 5;

/** Successes of an entry since a score began to rise by which it objects to an ejection. */
export const objectionSuccesses = 8;

/** Longest wait for most of the entries to see a failure themselves. */
export const majorityWaitMs = 5 * msPerSecond;

/** Longest wait for the other entries' evidence before an ejection. */
export const replyWaitMs = msPerSecond;

/** Successes in a row at one entry that end an ejection by trial requests. */
export const trialSuccesses = 5;

/** Interval between two trial requests of one entry to one instance. */
export const trialIntervalMs = 200;

/** Hold before the first trial request; doubled with each further ejection. */
export const firstHoldMs = 5 * msPerSecond;
export const maxHoldMs = 160 * msPerSecond;

/** Share of the hold by which entries spread their trials. */
export const holdSpread = 0.5;

/** Time without an ejection after which one doubling of the hold is forgotten. */
export const holdForgetMs = 300 * msPerSecond;

/** Multiple of the hold after which an instance returns without a trial, if no idempotent request came. */
export const untriedHoldFactor = 6;

/** Length and first weight of the slow start of a returning instance. */
export const slowStartMs = 10 * msPerSecond;
export const slowStartWeight = 0.1;

/** A request is stalled at this multiple of the typical latency and age of the service. */
export const stallFactor = 5;

/** How often one request counts as stalled at most; too few for one slow request to eject an instance. */
export const maxStallCount = 2;

/** Number of latencies kept for the median of the service. */
export const latencySamples = 128;

/** How long a draining answer alone keeps an instance out after its last sign. */
export const drainingHoldMs = 60 * msPerSecond;
