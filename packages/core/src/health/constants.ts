/** Constants of the ejection of failing instances. */

const msPerSecond = 1000;

/** Seconds in a day. */
export const secondsPerDay = 86_400;

/** Lower limit of the failure share of healthy instances; bounds the weight of a single failure. */
export const minHealthyFailureShare = 0.01;

/** Upper limit of the failure share of healthy instances; above it the service as a whole is failing. */
export const maxHealthyFailureShare = 0.25;

/** Failure share of a failing instance: the alternative hypothesis of the score. */
export const failingFailureShare = 0.5;

/** Limits of the alarm threshold, in nats. */
export const minThreshold = 6;
export const maxThreshold = 30;

/** Lower limit of the observation rate per instance, used before any observation was made. */
export const minObservationsPerSecond = 0.1;

/** Decay time constant of the observation rate and the typical failure share. */
export const baselineTimeConstantMs = 30 * msPerSecond;

/** Decay time constant for the detection of a service-wide disturbance. */
export const disturbanceTimeConstantMs = 2 * msPerSecond;

/** Share of the instances, the worst ones, that is excluded when a disturbance is measured. */
export const trimmedShare = 0.1;

/** Weight of the prior, `minHealthyFailureShare`, when a disturbance is measured, in observations. */
export const priorObservations = 25;

/** Maximum number of failures of one instance that count when a disturbance is measured. */
export const maxFailuresPerInstance = 3;

/** Weight of a successful health probe, in successes. */
export const probeSuccessWeight = 0.02;

/** Weight of a failed health probe, in failures. */
export const probeFailureWeight = 0.25;

/** Share of the threshold above which failed health probes no longer raise the score. */
export const maxProbeScoreShare = 0.5;

/** How long a success counts as proof that an instance is healthy. */
export const proofLifetimeMs = 10 * msPerSecond;

/** Age after which the report of a peer entry is ignored. */
export const reportLifetimeMs = 3 * msPerSecond;

/** Interval between two reports of an entry. */
export const reportIntervalMs = 500;

/** Minimum interval between two reports while there are urgent changes, such as a rising score. */
export const urgentReportIntervalMs = 100;

/** Number of reports in which a changed count is repeated, in case one is lost. */
export const repeatRounds = 4;

/** Interval between full reports, in rounds. */
export const fullReportRounds = 10;

/** Gap between two ticks above which this process is considered to have been paused. */
export const pauseGapMs = 2 * msPerSecond;

/** Log-likelihood, summed over the entries that see the instance work, at which it fails for some entries only. */
export const contradictionLimit = 5;

/** Successes at an entry, since a score began to rise, that contradict an ejection announced by a peer. */
export const contradictingSuccesses = 8;

/** Maximum wait for a majority of the entries to observe failures themselves. */
export const majorityWaitMs = 5 * msPerSecond;

/** Maximum wait for the evidence of the other entries before an ejection. */
export const replyWaitMs = msPerSecond;

/** Consecutive successful trial requests at one entry that end an ejection. */
export const trialSuccesses = 5;

/** Minimum interval between two trial requests of one entry to one instance. */
export const trialIntervalMs = 200;

/** Hold time before the first trial request; doubled with each further ejection. */
export const firstHoldMs = 5 * msPerSecond;
export const maxHoldMs = 160 * msPerSecond;

/** Maximum jitter of the hold time, as a share of it; spreads the trials of the entries. */
export const holdJitterShare = 0.5;

/** Time without an ejection after which one doubling of the hold time is undone. */
export const holdForgetMs = 300 * msPerSecond;

/** Multiple of the hold time after which an instance returns without a trial, if no idempotent request was available. */
export const untriedHoldFactor = 6;

/** Duration and initial weight of the slow start of a new or returning instance. */
export const slowStartMs = 10 * msPerSecond;
export const slowStartWeight = 0.1;

/** A request is stalled above this multiple of the service's typical latency and request age. */
export const stallFactor = 5;

/** Maximum times that one request counts as stalled; low enough that one slow request can't eject an instance. */
export const maxStallCount = 2;

/** Number of latencies kept for the median latency of a service. */
export const latencySamples = 128;

/** How long an instance stays out after its last draining answer if the host list doesn't confirm it. */
export const drainingHoldMs = 60 * msPerSecond;
