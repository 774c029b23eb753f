/** Constants of the load decisions. */

/** Time constant of the latency average of an instance. */
export const latencyDecayMs = 1000;

/** Time constant by which a latency fades while an instance gets no request, so that it is tried again. */
export const idleLatencyDecayMs = 10_000;

/** Latency assumed of an instance that has not answered yet, in milliseconds. */
export const unknownLatencyMs = 1;

/** An instance that refused a connection or died keeps its place, unused, for this long. */
export const deadHoldMs = 300;

/** Shortest time for which an instance that refused a connection or died is avoided; doubles with each failure. */
export const minAvoidMs = 500;

/** Longest time for which such an instance is avoided. */
export const maxAvoidMs = 8000;

/** How many instances a request without a recent success may run on. */
export const homeCount = 2;

/** Shortest time between two adjustments of the borrowed share. */
export const limitWindowMs = 100;

/** Fewest answers that an adjustment of the borrowed share is based on. */
export const limitWindowAnswers = 20;

/** Latency over the baseline, as a factor, above which an entry borrows less. */
export const latencyTolerance = 2;

/** Share of attempts shed by the backend servers above which an entry borrows less. */
export const shedTolerance = 0.7;

/** Borrowed share that a new entry starts with. */
export const initialBorrowedShare = 0;

/** Rise of the borrowed share for each window in which the limit was reached without harm. */
export const borrowedShareStep = 0.1;

/** Factor on the borrowed share when the instances show too much work. */
export const borrowedShareDecrease = 0.5;

/** Borrowed share below which nothing is borrowed. */
export const smallestBorrowedShare = 0.01;

/** Weight of a window in the baseline when it was faster than the baseline. */
export const baselineFallWeight = 0.1;

/** Weight of a window in the baseline when it was slower and nothing was borrowed. */
export const baselineRiseWeight = 0.002;

/** Factor on the slots of an instance that shed a request. */
export const shedSlotDecrease = 0.9;

/** Rise of the slot factor of an instance for each answered request. */
export const slotFactorStep = 0.05;

/** Retries that a service may spend before any request has added to its budget. */
export const initialRetryTokens = 3;

/** Retries that a service may save up. */
export const maxRetryTokens = 100;
