/** Constants of the crash history. */

/** Crashed instances after which a fingerprint is refused. */
export const maxInstancesLost = 2;

/** How long a crash is kept after its request was last seen. */
export const suspectLifetimeMs = 3_600_000;

/** How long an answer allows a request to run outside its home instances. */
export const answerLifetimeMs = 10_000;

/** Maximum number of fingerprints kept with one crash; the same limit applies to those with more. */
export const maxSuspects = 4096;

/** Maximum number of fingerprints kept with a recent answer. */
export const maxAnswers = 8192;

/** Reports of the same instance that are less than this apart count as one crash. */
export const sameCrashMs = 2000;
