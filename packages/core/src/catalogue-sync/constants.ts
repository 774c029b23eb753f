/** Times and limits of the synchronisation of the catalogue between gateways. */

/** Number of peers of the own data centre that an update is forwarded to: gossip with a fan-out of four reaches a hundred hosts in four steps. */
export const updateFanout = 4;

/** Least number of peers, of all data centres alike, that a store reader sends an update to: little traffic between data centres. */
export const readerFanout = 8;

/** Time between two comparisons with a random peer: two fit into the time within which a change has to be in force. */
export const compareIntervalMs = 700;

/**
 * Time from an urgent change to its catch-up, in which updates reach most gateways: comparisons made sooner would send the requests for a
 * large configuration to the few gateways that have it already.
 */
export const catchUpDelayMs = 400;

/**
 * Duration of the catch-up, in which a gateway compares with `catchUpPeers` random peers on each tick: updates miss gateways when many
 * peers are lost that nobody knows of yet, and regular comparisons find them too late.
 */
export const catchUpMs = 1100;

/** Number of peers compared with on each tick of a catch-up. */
export const catchUpPeers = 2;

/** Time between two comparisons while the catalogue is incomplete. */
export const initialCompareIntervalMs = 200;

/** Time for which a gateway remembers earlier states: updates reach all gateways sooner, and two comparisons fit into it. */
export const historyMs = 2000;

/** Time to wait before pulling from a peer in an unknown state: its update, or its answer, arrives within it. */
export const unknownStateDelayMs = 300;

/** Time to wait before sending missed updates to a peer: most get them from others sooner. */
export const updateDelayMs = 50;

/** Time after which a peer counts as unresponsive if no part of its answer to a pull has arrived. */
export const pullTimeoutMs = 300;

/** Time after which another peer is asked although an answer is arriving: two such answers fit into the time within which a change has to be in force. */
export const slowPullMs = 1000;

/** Number of store readers: two in different data centres, so that the loss of one causes no delay. */
export const readerCount = 2;

/** Time after which a gateway that reads without being elected asks the store again that rejected it: requests wait for a second, and few gateways do so. */
export const awaitedRetryMs = 500;

/** Time for which a member that can't reach the store is not elected as a reader. */
export const unreachableExclusionMs = 4000;

/** Time after the start for members to discover each other before one elects itself as a reader. */
export const electionWaitMs = 600;

/** Number of pings a second that a reader gets from all gateways together, so that its loss is noticed within a few tens of milliseconds by one of them. */
export const maxReaderPingsPerSecond = 40;

/** Mean time between two pings of one gateway to the readers in a small fleet. */
export const minReaderPingIntervalMs = 500;

/** Time after which a ping that no reader has answered is repeated, since datagrams may be lost. */
export const readerPingRepeatMs = 200;

/**
 * Time without an answer after which a gateway reads the store in the readers' place: with the time between pings, a first read and the
 * distribution it is shorter than the time within which a change has to be in force.
 */
export const readerSilenceMs = 400;
