/** Constants of the memory for crashing requests. */

/** Instances that a fingerprint may cost before it is refused. */
export const maxInstancesLost = 2;

/** How long a crash is remembered after the last sign of its request. */
export const suspectLifetimeMs = 3_600_000;

/** How long a success lets a request run outside its home instances. */
export const successLifetimeMs = 10_000;

/** Fingerprints remembered with one crash, and the same number with more. */
export const maxSuspects = 4096;

/** Fingerprints remembered with a recent success. */
export const maxSuccesses = 8192;

/** Reports of the same instance this far apart are one crash. */
export const sameCrashMs = 2000;
