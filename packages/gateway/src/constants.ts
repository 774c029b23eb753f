/** Times and limits of the gateway process. */

/** How often waiting requests, instances and peers are looked at: far below one service time. */
export const tickIntervalMs = 100;

/** How often connections to instances that left are looked for. */
export const upkeepIntervalMs = 1000;

/** Time between two reports to peers while something changes: far below one service time. */
export const reportIntervalMs = 100;

/** Time after which what peers know of an instance is told again; a third of the time after which it lapses. */
export const idleReportIntervalMs = 500;

/** Time after the last request for which a gateway goes on reporting. */
export const reportingMs = 5000;

/** Time between two log lines about what is believed of a service that takes requests. */
export const stateLogIntervalMs = 1000;

/** Bytes of the rows of one report, at most: a datagram of 1,200 bytes, less the names of the sender and of the service. */
export const reportRowsBytes = 1000;

/**
 * Largest head of a request or an answer that is read at all, in bytes: eight times the usual limit of HTTP servers. The
 * parser holds what it has read of a head, so that this bounds the memory that one connection takes before its request is known.
 */
export const maxReadHeadBytes = 131_072;

/** Most that is unpacked of one message, in bytes: three times a configuration of 110,000 routes, for which the fleet is designed. */
export const maxUnpackedBytes = 67_108_864;

/** Time in which a connection to an instance has to open: many round trips between data centres. */
export const connectTimeoutMs = 350;

/** Longest time that a connection to an instance is kept unused: instances may drop idle ones without notice. */
export const maxIdleConnectionMs = 4000;

/** Requests that one connection to an instance carries, at most: their ids are kept with it, some 20 KB for each. */
export const maxRequestsPerConnection = 256;

/** A connection is given up this long before the instance said that it closes it. */
export const idleCloseMarginMs = 1000;

/** How long a request waits for a process that has just started: the time in which one learns what it needs. */
export const startWaitMs = 1000;

/** When callers of a process that knows too little are asked to come back. */
export const notReadyRetryMs = 250;

/** When callers of a process that shuts down are asked to come back: another gateway can take their request at once, over a new connection. */
export const stoppingRetryMs = 50;

/** Silence, in mean service times, after which an idempotent request is also sent elsewhere: one answer in twenty-five takes longer where service times spread log-normally by 0.8. */
export const hedgeFactor = 3;

/** Connections that fail to open before a request is rejected. */
export const maxUnreachable = 3;

/** Answers up to this size are held back until they are whole, so that a spoilt one can be replaced. */
export const heldAnswerBytes = 1_048_576;

/** Largest answer without use that is read to its end, so that its connection can be kept: far more than a rejection needs. */
export const maxDrainBytes = 65_536;

/** Longest time for which such an answer is read: half of the time for which an instance may work on what nobody waits for. */
export const maxDrainMs = 250;

/** How much earlier than asked a timer may fire: timers count whole milliseconds of the event loop's clock, which lags behind. */
export const timerSlackMs = 2;

/** How long callers keep the addresses they were told: short, so that they leave a lost gateway soon. */
export const locateKeepMs = 2000;

/** The same while this gateway does not trust its view of the fleet: members that start together find each other within it. */
export const untrustedLocateKeepMs = 400;

/** Wait of a call that watches the store, so that a silent store is noticed within a second. */
export const watchWaitMs = 1000;

/** Shortest time between the starts of two calls that watch, so that many changes cost few calls: a tenth of the shortest time in which a change has to be in force. */
export const watchIntervalMs = 200;

/** Time since the last answer after which the configuration is read whole before it is watched on: some versions may have been written in it. */
export const resumedReadMs = 1500;

/** Pause before a call that failed is made again. */
export const storeRetryMs = 250;

/** Time for which removals after an outage of the store may be lapsed registrations that come back. */
export const storeRecoveryMs = 2500;

/** Failing time of the store from which registrations may have lapsed: less than the shortest registration. */
export const lapsingOutageMs = 1000;

/** How often a gateway that knows no other asks its seeds. */
export const joinIntervalMs = 250;

/** How often any gateway asks its seeds, in case that two groups have found no way to each other. */
export const rejoinIntervalMs = 5000;

/** Part of the time allowed for a shutdown in which callers are still accepted: they keep old addresses for a while. */
export const drainAcceptShare = 0.6;

/** Part of the time allowed for a shutdown after which the process ends whatever is in flight. */
export const drainEndShare = 0.92;

/** Request log lines per second, at most. */
export const requestLinesPerSecond = 400;

/** Longest part of a host name or path in a log line, in characters. */
export const loggedNameLength = 64;

/** How long a configuration heard from a peer at the start may be an old one, and how long a peer's word counts that it holds a newer one: the time in which a change has to be in force everywhere. */
export const configDoubtMs = 3000;

/** How long one version that peers name, and that does not arrive, counts at most: several times that; a peer that goes on naming it is wrong, or can't hand it over. */
export const maxConfigDoubtMs = 5 * configDoubtMs;
