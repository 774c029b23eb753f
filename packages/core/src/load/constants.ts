/** Times, factors and thresholds of the load decisions. */

/** Time constant of the moving average of an instance's latency. */
export const latencyDecayMs = 1000;

/** Time constant with which the latency decays while an instance gets no requests, so that it is tried again. */
export const idleLatencyDecayMs = 10_000;

/** Latency assumed for an instance that has not answered yet, in milliseconds. */
export const unknownLatencyMs = 1;

/** Time for which an instance that refused a connection or died stays a home instance without getting requests. */
export const failedHoldMs = 300;

/** First avoidance of an instance that refused a connection or died; doubles with each failure in a row. */
export const minAvoidMs = 500;

/** Longest avoidance of such an instance. */
export const maxAvoidMs = 8000;

/** Number of home instances: those that a request without a recent success may run on. */
export const homeCount = 2;

/** Shortest time between two adjustments of the borrowed share. */
export const limitWindowMs = 100;

/** Fewest attempts that an adjustment of the borrowed share is based on. */
export const limitWindowAttempts = 20;

/** Ratio of latency to baseline above which an entry reduces its borrowed share. */
export const latencyTolerance = 2;

/** Share of attempts shed by the backend servers above which an entry reduces its borrowed share. */
export const shedTolerance = 0.7;

/** Number of usual latencies without an answer after which what is in flight counts as long, so that an entry borrows more. */
export const silenceLatencies = 4;

/** Borrowed share of a new entry. */
export const initialBorrowedShare = 0;

/** Increase of the borrowed share for each window in which the limit was reached without signs of overload. */
export const borrowedShareStep = 0.1;

/** Factor on the borrowed share when the instances show signs of overload. */
export const borrowedShareDecrease = 0.5;

/** Borrowed share below which nothing is borrowed. */
export const minBorrowedShare = 0.01;

/** Weight in the baseline of a window that was faster than the baseline. */
export const baselineFallWeight = 0.1;

/** Weight in the baseline of a window that was slower and in which nothing was borrowed. */
export const baselineRiseWeight = 0.002;

/** Factor on the slots of an instance that shed a request. */
export const shedSlotDecrease = 0.9;

/** Increase of an instance's slot factor for each answered request. */
export const slotFactorStep = 0.05;

/** Retries that a service may make before any request has added to its budget. */
export const initialRetryTokens = 3;

/** Largest number of unused retries that a service accumulates. */
export const maxRetryTokens = 100;
