/** Times and weights of the dispatch decisions. */

/** How long an instance is avoided after it broke a request: about half of the six to eleven seconds for which instances fail partly, since a trial is made only when trusted ones are full. */
export const brokenAvoidMs = 5000;

/** Factor on that time for each failed trial in a row: what is left of such an episode is shorter each time. */
export const avoidFactor = 0.7;

/** Shortest time for which a failed trial puts off the next one: each may cost a request. */
export const minBrokenAvoidMs = 2000;

/** Longest time for which an instance is avoided without a new sign: the bound within which a recovered one takes work again. */
export const maxAvoidMs = 8000;

/** Time for which an instance that could not be reached is avoided at first; doubles up to `maxAvoidMs`. Each try costs a request its connect timeout. */
export const unreachableAvoidMs = 1000;

/** Time for which an instance that shed a request is avoided at first; doubles up to `maxShedAvoidMs`. One service time frees a slot. */
export const shedAvoidMs = 100;

/** Longest time for which an instance is avoided because it sheds. */
export const maxShedAvoidMs = 800;

/** Suspicion at which an instance is avoided. */
export const avoidSuspicion = 1;

/** Suspicion that one error answer raises: sound instances give about one in a hundred, so one is weak evidence and two in a row are strong. */
export const serverErrorSuspicion = 0.6;

/** Suspicion that one good answer takes away. */
export const goodAnswerRelief = 0.25;

/** Time over which a suspicion halves without new evidence. */
export const suspicionHalfLifeMs = 4000;

/** Share of a service's slots that avoidance leaves in use; the least suspected instances are used beyond it. A service runs at a third of its slots on a calm day. */
export const minUsedShare = 0.5;

/** The same while work is spread: the share of a service's capacity that ejection leaves available. */
export const minSpreadUsedShare = 0.7;

/** Time over which a good answer loses its value as evidence that the instance still works. */
export const proofLifetimeMs = 8000;

/** Chance that a request fails at an instance of which nothing recent is known. */
export const unprovenRisk = 0.25;

/** Risk from which a request that can't be repeated first waits for a better instance: that of one whose last good answer is as old as its proof lasts. */
export const patientRisk = unprovenRisk * (1 - Math.exp(-1));

/** Time for which it waits, in mean service times: within half of one, many slots of trusted instances become free. */
export const patienceFactor = 0.5;

/** Part of the risk that counts for a request that can be sent again elsewhere. */
export const idempotentRiskFactor = 0.3;

/** Cost of leaving the data centre, as a share of a request's value, without the body. */
export const remoteCost = 0.01;

/** The same for each megabyte of the body. */
export const remoteCostPerMegabyte = 2;

/** Cost of filling an instance to its last slot, as a share of a request's value: some slow down when nearly full. */
export const crowdingCost = 0.02;

/** Age of a request in flight, in mean service times, from which its instance gets no more work while others have room. */
export const overdueFactor = 2.5;

/** Added risk of an instance with an overdue request. */
export const overdueRisk = 0.4;

/** Age of a request in flight, in mean service times, at which its instance counts as stalled. */
export const stalledFactor = 5;

/** Shortest age at which an instance counts as stalled. */
export const minStalledMs = 800;

/** Service time assumed before the first answer. */
export const initialServiceMs = 300;

/** Weight of a new answer in the mean service time. */
export const serviceTimeWeight = 0.05;

/** Delay of a datagram up to which what a peer repeats counts as known: a link whose packets wait longer counts as overloaded. */
export const heardDelayMs = 500;

/** Difference in time below which nothing new is to be told: times are told in whole milliseconds. */
export const toldRoundingMs = 2;

/** Bytes of one row of a report besides the id of the instance, of one byte a character, at most. */
export const reportRowBytes = 12;

/** Time after which a peer's report no longer counts: several report intervals. */
export const reportLifetimeMs = 1500;

/** Shortest and longest time after which a rejected caller is asked to come back. */
export const minRetryAfterMs = 50;
export const maxRetryAfterMs = 2000;

/** Part of the time to the objective, less one service time, that a request may be expected to wait: the rest is for the spread of service times. */
export const maxWaitShare = 0.75;

/** Length of the window in which answers to callers are counted. */
export const servedWindowMs = 2000;

/** Share of unserved requests in the window above which work is spread over all usable instances. */
export const spreadUnservedShare = 0.07;

/** Share of the usable instances that are to have had a request within `reachedMs`, whatever is lost: seven in ten of the sound ones have to be reached, and some of these are still avoided. */
export const minReachedShare = 0.85;

/** Time within which it is: two seconds are allowed, less half a second to get there. */
export const reachedMs = 1500;

/** Part of the requests that may go to that: with fewer requests the instance that proved itself last serves callers better. */
export const maxReachingShare = 0.5;

/** Time without a request after which an instance is preferred while work is spread, or while fewer than `minReachedShare` are reached. */
export const spreadIdleMs = 1000;

/** The same for an instance of another data centre, so that its own gateways come first: a trial may cost a request. */
export const remoteSpreadIdleMs = 1.5 * spreadIdleMs;

/** The same for an instance with a request that has not ended since: it may hang, so that it comes last, but before the two seconds are over. */
export const pendingSpreadIdleMs = 1700;

/** Requests without an end from which the spread leaves an instance alone: several that take so long are hardly chance. */
export const maxPendingAtTarget = 2;

/** Cost of an instance that the spread is to reach next: below that of any other. */
export const spreadCost = -0.5;

/** The same in another data centre. */
export const remoteSpreadCost = -0.25;

/** Time after its last failure from which the spread reaches an instance that is still avoided: it may be sound 2 s after, and has to be reached within the 2 s that follow, less half a second to get there. */
export const spreadAvoidMs = 3500;

/** How long a new instance is left to the idempotent requests before any request may be its first. */
export const introductionDelayMs = 800;

/** Shortest idle time at which a reset may mean that the instance forgot the connection: shorter ones are ends of other causes. */
export const minIdleLossMs = 100;

/** Time within which two such resets are taken for forgotten connections: failing instances give them one by one. */
export const idleLossWindowMs = 2000;

/** Time for which that is believed after the last reset: as long as an instance is avoided at most. */
export const idleLossMemoryMs = 8000;

/** Part of a shutdown in which requests are taken though their time ends after it: most are answered in a fraction of their time, and three service times and more are left. */
export const lateTakeShare = 0.5;
