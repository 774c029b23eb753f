/** Bounds within which a gateway has to heed what an instance says of itself in an answer. */

/** Time after an answer that says so from which no new request may reach a leaving instance. */
export const drainMs = 2000;

/** Time after a request for a pause from which the pause counts. */
export const pauseGraceMs = 500;

/** Number of requests that may still reach the instance in its pause. */
export const maxPausedArrivals = 2;
