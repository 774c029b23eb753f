/** Shares and timings of quotas. */

/** Buckets of a window: the use of a window is known to this part of it, and is never counted too low. */
export const bucketsPerWindow = 25;

/**
 * Share of the room between the limit and the ceiling that is admitted knowingly. The rest covers what gateways admit before
 * they hear of each other.
 */
export const targetShare = 0.25;

/** Share of its static share that a gateway admits before it speaks of it: while all are below, their sum is below the target. */
export const silentShare = 0.7;

/** Static share of a gateway that callers are not sent to, as a part of that of one that they are sent to. */
export const strayShare = 0.125;

/** Shortest time between two reports on a workspace, in milliseconds. */
export const reportIntervalMs = 100;

/** What each receiver adds to the time between two reports, in milliseconds: bounds the messages that a gateway sends to 250 a second. */
export const reportIntervalPerPeerMs = 4;

/** Shortest time between two reports on a workspace of which peers have to hear at once, in milliseconds: a round trip between data centres. */
export const urgentIntervalMs = 20;

/** Number of report intervals without a report after which a peer is silent. */
export const silentIntervals = 3.5;

/** Time for which gateways go on to report on a workspace after one of them needed it, in milliseconds. */
export const talkMs = 1500;

/** Time over which the present rate of a peer is measured, as a part of the window. */
export const recentShare = 0.1;

/** Shortest time that a caller is told to wait, in milliseconds. */
export const minRoomAfterMs = 50;

/** Part of a wait by which it is lengthened at random at most, so that callers don't come back together. */
export const waitJitter = 0.5;

/** Encoded size of a row without the name, in bytes. */
export const reportRowBytes = 26;

/** Number of gateways that one report names at most, of those that callers are not sent to. */
export const maxStrays = 8;
