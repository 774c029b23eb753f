/** Times and limits of the spread of the catalogue between gateways. */

/** Peers of the own data centre that news is passed on to: an epidemic with four reaches a hundred hosts in four steps. */
export const newsFanout = 4;

/** Peers of any data centre that the reader of the store tells first: few enough bytes between data centres, and with two readers hardly ever none in one of them. */
export const readerFanout = 8;

/** Time between two comparisons with a random peer: two fit into the bound within which a change has to be in force. */
export const compareIntervalMs = 700;

/** Time between two comparisons before the catalogue is whole. */
export const firstCompareIntervalMs = 200;

/** Time for which a gateway remembers what it held before: news takes less to reach everyone, and comparisons meet twice in it. */
export const historyMs = 2000;

/** Time for which a peer that holds something unknown is left alone: its news, or its answer, arrives within it. */
export const doubtMs = 300;

/** Time after which a peer that lacks news is sent it: most hear it from others sooner. */
export const newsGraceMs = 50;

/** Time after which a peer that was asked for what it has counts as silent, if none of its answer is there. */
export const pullTimeoutMs = 300;

/** Time after which another peer is asked although an answer is arriving: two such answers fit into the time within which a change has to be in force. */
export const slowPullMs = 1000;

/** Readers of the store. Two, in different data centres, so that the loss of one costs no time. */
export const readerCount = 2;

/** Time after which a gateway at which requests wait asks the store again that turned it away: requests wait for a second, and few gateways have any. */
export const awaitedRetryMs = 500;

/** How long a member that was turned away by the store is passed over as a reader. */
export const unreachableHoldMs = 4000;

/** Time after the start in which members find each other before one elects itself to read. */
export const electionWaitMs = 600;
