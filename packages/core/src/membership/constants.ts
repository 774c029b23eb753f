/** Times and limits of the membership protocol. */

/** Interval between rounds of probes. */
export const probePeriodMs = 500;

/** Number of hosts that an agent watches: those that follow it on the ring. */
export const watchedHosts = 3;

/** Watched hosts probed in each round. */
export const watchProbesPerRound = 2;

/** Time without an answer after which helpers are asked to probe the host as well. */
export const directTimeoutMs = 300;

/** Time without an answer, direct or through helpers, after which a probe has failed. */
export const probeTimeoutMs = 600;

/** Time a helper waits for the target before it sends a nack to the requester. */
export const helperTimeoutMs = 150;

/** Number of helpers asked for an indirect probe. */
export const indirectHelpers = 3;

/** Number of hosts that must have failed to reach a member before it counts as lost. */
export const suspicionConfirmations = 2;

/** Expected number of agents that probe a newly suspected member at once. */
export const suspectCheckers = 5;

/** Age at which a suspicion ends: the member is declared dead if enough hosts share it, and alive otherwise. */
export const suspicionTimeoutMs = 2000;

/** Number of hosts that a round of gossip is sent to. */
export const gossipFanout = 4;

/** Rounds of gossip after the most recently queued update. */
export const gossipRounds = 2;

/** Minimum interval between rounds of gossip. */
export const gossipIntervalMs = 50;

/** Maximum number of queued updates in a datagram. */
export const maxUpdates = 6;

/** Maximum number of updates in a message of a state comparison. */
export const maxStateUpdates = 400;

/** Interval between attempts to contact listed hosts that are unknown or believed to be dead or gone. */
export const contactIntervalMs = 1000;

/**
 * Interval between attempts to contact listed hosts while no other member is known. Also the interval between
 * comparisons while the view is not trusted, and the minimum interval between pings to unknown senders.
 */
export const startContactIntervalMs = 200;

/** Mean interval between comparisons of the whole member table with a random member. */
export const compareIntervalMs = 5000;

/** Gap between two calls that shows that the process was paused, so that its view may be out of date. */
export const pauseThresholdMs = 1000;

/** Longest wait for a comparison with a peer, after a start or a pause, before the agent trusts its view. */
export const trustWaitMs = 1000;

/** How long a member that died or left is kept in the table. */
export const deadRetentionMs = 600_000;
