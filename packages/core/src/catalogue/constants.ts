/** Retention times of the catalogue. */

/** Longest time for which an instance is kept whose registration expired during an outage of the store, since it may register again. */
export const lapsedRetentionMs = 2000;

/**
 * Longest time for which an instance is kept that a store which came back from an older copy has lost: it is written again within about
 * two seconds, the rest is for reading that and distributing it.
 */
export const lostRetentionMs = 2500;

/** How long the entry of a removed registration is kept, so that an older entry does not restore the instance. */
export const removedRetentionMs = 120_000;

/**
 * Longest time for which an instance gets no requests whose removal the store has lost: three heartbeats of ten seconds, in which its
 * registration expires once more if it is gone.
 */
export const withheldMs = 30_000;
