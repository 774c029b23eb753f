/** Timings and limits of the gateway process. */

/** Interval of the periodic work on queued requests, instances and peers: far below one service time. */
export const tickIntervalMs = 100;

/** Interval at which heads of requests are checked for the configured time: a small part of it. */
export const headCheckIntervalMs = 500;

/** Interval at which connections to instances that have left are closed. */
export const connectionCleanupIntervalMs = 1000;

/** Shortest time between two reports to peers while something changes: far below one service time. */
export const reportIntervalMs = 100;

/** Time after which an unchanged instance is reported to peers again; a third of the time after which a report expires. */
export const reportRefreshIntervalMs = 500;

/** Time after its last request during which a gateway sends reports, and after its last placement during which it gets those of others. */
export const reportingWindowMs = 5000;

/** Time between two log lines on the state of the process. */
export const processLogIntervalMs = 10_000;

/** Time between two log lines on the state of a service that takes requests. */
export const stateLogIntervalMs = 1000;

/** Maximum size of the rows of one report, in bytes: a datagram of 1,200 bytes less the names of the sender and of the service. */
export const maxReportRowsBytes = 1000;

/**
 * Largest head of a request or an answer that the parser accepts, in bytes: eight times the usual limit of HTTP servers. The
 * parser buffers the head, so this bounds the memory of a connection before its request is known.
 */
export const maxReadHeadBytes = 131_072;

/** Maximum decompressed size of one message, in bytes: three times a configuration of 110,000 routes, for which the fleet is designed. */
export const maxUnpackedBytes = 67_108_864;

/** Connect timeout to an instance: many round trips between data centres. */
export const connectTimeoutMs = 350;

/** Maximum idle time of a connection to an instance, since instances may drop idle connections without notice. */
export const maxIdleConnectionMs = 4000;

/** Maximum number of requests on one connection to an instance: their ids are kept with it, some 20 KB for each connection. */
export const maxRequestsPerConnection = 256;

/** A connection is closed this long before the instance announced that it would close it. */
export const idleCloseMarginMs = 1000;

/** Time for which a request waits for a process that has just started: the time in which it gets configuration and instances. */
export const startupWaitMs = 1000;

/** Retry delay for callers of a process that has no configuration or no instances yet. */
export const notReadyRetryMs = 250;

/** Retry delay for callers of a process that shuts down: another gateway can take their request at once, over a new connection. */
export const stoppingRetryMs = 50;

/** Retry delay for callers whose bytes don't fit into the memory: about the time that a large upload takes. */
export const memoryRetryMs = 1000;

/** Number of failed connects after which a request is rejected. */
export const maxConnectFailures = 3;

/** Answers up to this size, in bytes, are buffered until they are complete, so that a broken one can be replaced by a retry. */
export const maxBufferedAnswerBytes = 1_048_576;

/** Most bytes of one answer that are held beyond those while its caller reads slowly. */
export const maxHeldRestBytes = 8_388_608;

/** Largest share of the bytes that the process may hold that one such answer may take. */
export const maxHeldRestShare = 0.125;

/** Share of the bytes that the process may hold above which such answers take no more: the others are for uploads and for answers that can still be replaced. */
export const maxHeldShareForRests = 0.25;

/** Time that a caller has at least to take an answer that is ready: many round trips between regions. */
export const minTakeMs = 1000;

/** Largest discarded answer that is read to its end to keep its connection, in bytes: far more than a rejection needs. */
export const maxDiscardedAnswerBytes = 65_536;

/** Maximum time spent on reading a discarded answer: half of the time for which an instance may work on a request that nobody waits for. */
export const maxDiscardMs = 250;

/** Longest pause that an instance may ask for: beyond it, a faulty value would keep the instance idle for the life of the process. */
export const maxPauseMs = 86_400_000;

/** How much too early a timer may fire: timers count whole milliseconds of the event loop's clock, which lags behind. */
export const timerSlackMs = 2;

/** Time to live of a locate answer: short, so that callers leave a lost gateway soon. */
export const locateKeepMs = 2000;

/** Time to live while this gateway does not trust its view of the fleet: members that start together find each other within it. */
export const untrustedLocateKeepMs = 400;

/** Long-poll wait of a watch on the store, so that a silent store is noticed within a second. */
export const watchWaitMs = 1000;

/** Shortest time between the starts of two watch calls, which batches changes: a tenth of the shortest time in which a change has to be in force. */
export const watchIntervalMs = 200;

/**
 * Time since the last answer of the store after which the configuration is read in full before the watch resumes: a watch
 * returns every version that was written meanwhile.
 */
export const maxWatchGapMs = 1500;

/** Delay before a failed call to the store is retried. */
export const storeRetryMs = 250;

/** Time after an outage of the store during which a removal may be an expired registration that will be renewed. */
export const storeRecoveryMs = 2500;

/** Shortest outage of the store in which registrations may have expired: less than the shortest registration. */
export const minLapsingOutageMs = 1000;

/** Interval at which a gateway without known peers contacts its seeds. */
export const joinIntervalMs = 250;

/** Mean interval at which a gateway with known peers contacts its seeds, to merge groups that have not found each other. */
export const rejoinIntervalMs = 5000;

/** Share of the shutdown time in which new connections are still accepted, since callers keep old addresses for a while. */
export const drainAcceptShare = 0.6;

/** Share of the shutdown time after which the process aborts the requests that are still in flight. */
export const drainEndShare = 0.92;

/** Maximum rate of log lines about requests, per second. */
export const maxRequestLogLinesPerSecond = 400;

/** Length to which a host name or path is truncated in a log line, in characters. */
export const maxLoggedNameLength = 64;

/**
 * Time for which a configuration that a peer sent at the start may be outdated, and for which a newer version counts after a
 * peer named it: the time in which a change has to be in force everywhere.
 */
export const configStalenessWindowMs = 3000;

/** Longest time for which the same newer version counts while it does not arrive: a peer that keeps naming it is wrong or can't send it. */
export const maxConfigStalenessWindowMs = 5 * configStalenessWindowMs;

/** Time for which a gateway that was lost without a word counts as one that may be cut off and serve on: far longer than a split lasts. */
export const lostPeerMemoryMs = 300_000;

/** Number of gateways that share a quota at least, so that what a gateway admitted is known elsewhere when it is killed. */
export const minQuotaGateways = 3;

/** Maximum size of the rows of one report on quotas, in bytes: a datagram less the names of the sender and of other gateways, so that none goes over a stream, which earlier versions would close. */
export const maxQuotaRowsBytes = 700;

/** Interval at which workspaces without use are forgotten. */
export const quotaCleanupIntervalMs = 1000;
