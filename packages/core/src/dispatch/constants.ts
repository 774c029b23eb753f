/** Times, thresholds and cost weights of the dispatch decisions. */

/** Avoidance of an instance after a broken request: about half of the 6 to 11 s for which instances fail partly, since it is tried again only when reliable ones are full. */
export const brokenAvoidMs = 5000;

/** Factor on `brokenAvoidMs` for each further failed trial in a row: the rest of such an episode is shorter each time. */
export const avoidDecayFactor = 0.7;

/** Shortest avoidance after a failed trial: each trial may cost a request. */
export const minBrokenAvoidMs = 2000;

/** Longest avoidance without new evidence: bounds the time until a recovered instance gets work again. */
export const maxAvoidMs = 8000;

/** First avoidance of an unreachable instance; doubles up to `maxAvoidMs`. Each attempt costs a request its connect timeout. */
export const unreachableAvoidMs = 1000;

/** First avoidance of an instance that shed a request; doubles up to `maxShedAvoidMs`. A slot becomes free within one service time. */
export const shedAvoidMs = 100;

/** Longest avoidance of an instance that sheds. */
export const maxShedAvoidMs = 800;

/** Suspicion score from which an instance is avoided. */
export const avoidSuspicion = 1;

/** Suspicion added by an error answer: sound instances give about one in a hundred, so one is weak evidence and two in a row are strong. */
export const serverErrorSuspicion = 0.6;

/** Suspicion removed by a good answer. */
export const goodAnswerSuspicionDecrease = 0.25;

/** Half-life of the suspicion score without new evidence. */
export const suspicionHalfLifeMs = 4000;

/** Share of a service's slots that stays in use despite avoidance, instances whose avoidance ends first before others. A service uses a third of its slots under normal load. */
export const minUsedShare = 0.5;

/** Replaces `minUsedShare` while work is spread: the share of a service's capacity that ejection leaves available. */
export const minSpreadUsedShare = 0.7;

/** Time constant with which a good answer loses its value as evidence that the instance works. */
export const goodAnswerDecayMs = 8000;

/** Probability that a request fails at an instance without recent evidence. */
export const untestedRisk = 0.25;

/** Risk from which a non-repeatable request prefers to wait for another instance: reached when the last good answer is `goodAnswerDecayMs` old. */
export const waitRiskThreshold = untestedRisk * (1 - Math.exp(-1));

/** Longest such wait, as a factor on the mean service time: within half a service time many slots of reliable instances become free. */
export const preferredWaitFactor = 0.5;

/** Factor on the risk for a request that can be repeated on another instance. */
export const idempotentRiskFactor = 0.3;

/** Cost of leaving the data centre, relative to the value of a request, without its body. */
export const remoteCost = 0.01;

/** Additional cost of leaving the data centre for each megabyte of the body. */
export const remoteCostPerMegabyte = 2;

/**
 * Highest cost of another data centre for the bytes of an answer: about half of what an untested instance costs a request that can be
 * repeated, and twice that of an instance whose slots are all but one in use.
 */
export const maxAnswerDistanceCost = 0.04;

/** Cost of filling an instance to its last slot, relative to the value of a request: some instances slow down when nearly full. */
export const utilisationCost = 0.02;

/** Age of a request in flight, as a factor on the mean service time, from which its instance gets no more work while others have free slots. */
export const overdueFactor = 2.5;

/** Risk added to an instance with an overdue request. */
export const overdueRisk = 0.4;

/** Age of a request in flight, as a factor on the mean service time, from which its instance counts as stalled. */
export const stalledFactor = 5;

/** Shortest age of a request at which its instance counts as stalled. */
export const minStalledMs = 800;

/** Mean service time assumed before the first answer. */
export const initialServiceMs = 300;

/** Weight of a new answer in the moving average of the service time. */
export const serviceTimeWeight = 0.05;

/** Delay of a datagram up to which a repeated avoidance counts as known: a link that delays packets for longer counts as overloaded. */
export const reportDelayToleranceMs = 500;

/** Difference between two times that is too small to report: reports carry whole milliseconds. */
export const reportRoundingMs = 2;

/** Upper bound on the bytes of a report row besides the instance id, whose characters take one byte each. */
export const reportRowBytes = 12;

/** Time after which a peer's report expires: several report intervals. */
export const reportLifetimeMs = 1500;

/** Shortest and longest time after which a rejected caller is asked to retry. */
export const minRetryAfterMs = 50;
export const maxRetryAfterMs = 2000;

/** Share of the time left until the objective, less one service time, that a request may be expected to wait; the rest covers varying service times. */
export const maxWaitShare = 0.75;

/** Length of the window in which final answers to callers are counted. */
export const outcomeWindowMs = 2000;

/** Share of unserved requests in the window above which work is spread over all usable instances. */
export const spreadUnservedShare = 0.07;

/** Share of the usable instances to send a request to within `coverageWindowMs`, however many requests are served: 70 % of the sound ones have to get one, and some of these are still avoided. */
export const minCoverageShare = 0.85;

/** Window for `minCoverageShare`: the required two seconds, less half a second for the request to arrive. */
export const coverageWindowMs = 1500;

/** Largest share of the requests to use for coverage: when there are too few requests for that, callers are served better by the instance with the latest good answer. */
export const maxCoverageRequestShare = 0.5;

/** Idle time after which an instance is preferred while work is spread, or while coverage is below `minCoverageShare`. */
export const spreadIdleMs = 1000;

/** Replaces `spreadIdleMs` for another data centre, so that gateways there try the instance first: a trial may cost a request. */
export const remoteSpreadIdleMs = 1.5 * spreadIdleMs;

/** Replaces `spreadIdleMs` for an instance with an unfinished request: it may hang, so it comes last, but still within the required two seconds. */
export const pendingSpreadIdleMs = 1700;

/** Unfinished requests from which the spread skips an instance: several that take this long are hardly chance. */
export const maxPendingAtTarget = 2;

/** Cost of the instance that the spread selects next: lower than that of any other. */
export const spreadCost = -0.5;

/** Replaces `spreadCost` in another data centre. */
export const remoteSpreadCost = -0.25;

/**
 * Avoided instances that may have recovered, relative to those that work, below which the spread leaves them out: while
 * `minCoverageShare` of the others get requests, that is still `minSpreadUsedShare` of both.
 */
export const maxSparedRecoveredRatio = (minCoverageShare / minSpreadUsedShare) - 1;

/** Standard deviations of the number of instances that may have recovered that are allowed for: the sound instances are only a part of all, with a ratio that varies. */
export const recoveredDeviations = 2;

/** Age of the last good answer up to which an instance counts as one that works: more than twice the time in which most instances get a request. */
export const workingAgeMs = 4000;

/** Time since the last failure from which the spread may use an avoided instance: it may be sound again after 2 s and has to get a request within the 2 s that follow, less half a second for the request to arrive. */
export const recoveryDelayMs = 3500;

/** Time for which only idempotent requests may be the first request of a new instance. */
export const introductionDelayMs = 800;

/** Shortest idle time at which a reset may mean that the instance dropped the connection; resets of busier connections have other causes. */
export const minIdleLossMs = 100;

/** Two resets within this time indicate dropped idle connections: failing instances cause single resets. */
export const idleLossWindowMs = 2000;

/** Time for which dropped idle connections are assumed after the last reset: equal to the longest avoidance of an instance. */
export const idleLossMemoryMs = 8000;

/** Share of a shutdown in which requests are accepted although their time ends after it: most take a fraction of their time, and at least three service times are left. */
export const lateAcceptShare = 0.5;

/**
 * Longest time since the signal in which such requests are accepted, however long the shutdown is: the caller of one sent within 3 s has to expect that
 * the shutdown ends it; the rest is for a signal that is handled late.
 */
export const maxLateAcceptMs = 2800;

/**
 * Time without an answer, in mean service times, after which an idempotent request is hedged in any case: one answer in twenty-five takes
 * longer where service times are log-normal with a spread of 0.8.
 */
export const lateHedgeFactor = 3;

/** Shortest such time, in mean service times: one answer in six takes longer where service times are log-normal with a spread of 0.8. */
export const minHedgeFactor = 1.5;

/** Share of the retry budget beyond which requests are hedged late only; the rest is left to requests that failed. */
export const earlyHedgeBudgetShare = 0.5;
