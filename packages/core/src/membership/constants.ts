/** Times and limits of the membership. */

/** Time between two rounds of probes. */
export const probePeriodMs = 500;

/** Hosts after this one on the ring that it watches. */
export const watchedHosts = 3;

/** Probes to watched hosts in a round. */
export const watchProbes = 2;

/** Time after which helpers are asked to probe a host that has not answered. */
export const directTimeoutMs = 300;

/** Time after which a probe has failed. */
export const probeTimeoutMs = 600;

/** Time a helper waits for the target before it says that it got no answer either. */
export const helperTimeoutMs = 150;

/** Helpers asked for an indirect probe. */
export const indirectHelpers = 3;

/** Hosts that must have failed to reach a member before it counts as lost. */
export const neededSuspecters = 2;

/** Agents expected to check a suspected member at once. */
export const suspectCheckers = 5;

/** Time a suspicion may stand before the member is declared dead, or cleared when nobody else shares it. */
export const suspicionTimeoutMs = 2000;

/** Hosts that a burst of news is sent to. */
export const gossipFanout = 4;

/** Bursts after the last news. */
export const gossipBursts = 2;

/** Least time between two bursts of news. */
export const gossipIntervalMs = 50;

/** Updates in one datagram, at most. */
export const maxUpdates = 6;

/** Updates in one message of a comparison, at most. */
export const maxStateUpdates = 400;

/** Time between two attempts to reach a listed host that was never heard or is believed dead. */
export const contactIntervalMs = 1000;

/** The same while no other member is known. */
export const startContactIntervalMs = 200;

/** Time between two comparisons of all members with a random one. */
export const compareIntervalMs = 5000;

/** A gap between two ticks after which the process doubts what it believed before. */
export const sleepGapMs = 1000;

/** Longest time the process waits for peers after it slept or started before it trusts its view. */
export const trustWaitMs = 1000;

/** How long a dead member is remembered. */
export const deadRetentionMs = 600_000;
