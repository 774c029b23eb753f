/** Times of the catalogue. */

/** How long an instance whose registration ran out during an outage of the store may still come back. */
export const lapsedHoldMs = 2000;

/** How long a removed registration is remembered, so that an older statement does not revive it. */
export const removedRetentionMs = 120_000;
