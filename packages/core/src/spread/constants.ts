/** Times and limits of the spread of the catalogue between gateways. */

/** Peers that news is passed on to: an epidemic with four reaches a hundred hosts in four steps. */
export const newsFanout = 4;

/** Peers that the reader of the store tells first. */
export const readerFanout = 8;

/** Time between two comparisons with a random peer: two fit into the bound within which a change has to be in force. */
export const compareIntervalMs = 700;

/** Time between two comparisons before the catalogue is whole. */
export const firstCompareIntervalMs = 200;

/** Time after which a peer that was asked for what it has counts as silent. */
export const pullTimeoutMs = 300;

/** Readers of the store. Two, in different data centres, so that the loss of one costs no time. */
export const readerCount = 2;

/** How long a member that was turned away by the store is passed over as a reader. */
export const unreachableHoldMs = 4000;

/** Time after the start in which members find each other before one elects itself to read. */
export const electionWaitMs = 600;
