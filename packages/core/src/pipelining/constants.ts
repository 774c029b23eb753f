/** Limits on the requests of one caller's connection. */

/** Maximum number of unanswered requests of a connection that are processed at the same time: the slots of two instances of four each. */
export const maxConcurrentRequests = 8;

/** Number of unanswered requests from which on a connection is not read any further: enough to keep all concurrent ones busy. */
export const maxReadAheadRequests = 4 * maxConcurrentRequests;

/** Size of the bodies of unanswered requests from which on a connection is not read any further, in bytes. */
export const maxReadAheadBytes = 1_048_576;
