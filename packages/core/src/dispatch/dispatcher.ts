/**
 * Decides for each request to a service: send it now, let it wait, or reject it.
 *
 * Answers bursts (a short queue, rejected once the wait would cost the objective), sustained overload (what can't be
 * served in time is rejected at once, with the time at which there will be room), and partial failures (see the pool).
 */

import type {Random} from '../random.ts';
import {
	initialServiceMs, maxRetryAfterMs, maxWaitShare, minRetryAfterMs, patienceFactor, serviceTimeWeight, servedWindowMs, spreadUnservedShare,
} from './constants.ts';
import {
	createInstancePool, type ChoiceContext, type InstanceCensus, type InstancePool,
} from './instance-pool.ts';
import type {
	AttemptResult, DispatchDecision, DispatchInstance, DispatchReport, DispatchRequest, DeferredDecision, Placement, RejectReason,
} from './types.ts';
import {compareUrgency, createWaitQueue} from './wait-queue.ts';

/** The decisions of one gateway about one service. */
export type Dispatcher<Request extends DispatchRequest> = {
	readonly setInstances: (instances: readonly DispatchInstance[]) => void;
	readonly submit: (request: Request, nowMs: number) => DispatchDecision;
	/** Ends an attempt; true when its instance is avoided from now on. Call `poll` afterwards. */
	readonly finish: (placement: Placement, result: AttemptResult, nowMs: number) => boolean;
	/** Decisions about waiting requests; to be called after each change and every few tens of milliseconds. */
	readonly poll: (nowMs: number) => ReadonlyArray<DeferredDecision<Request>>;
	/** Rejects what waits, and all that comes from now on. */
	readonly stop: (nowMs: number) => ReadonlyArray<DeferredDecision<Request>>;
	/** Forgets a waiting request whose caller left. */
	readonly cancel: (request: Request) => void;
	/** Counts a final answer to a caller. */
	readonly recordOutcome: (isServed: boolean, nowMs: number) => void;
	/** Instances that turned out stalled. */
	readonly findStalled: (nowMs: number) => readonly string[];
	readonly report: (nowMs: number) => DispatchReport;
	readonly receiveReport: (peerId: string, report: DispatchReport, nowMs: number) => void;
	/** Mean time that an answer takes. */
	readonly serviceMs: () => number;
	readonly explain: InstancePool['explain'];
	readonly snapshot: (nowMs: number) => DispatcherSnapshot;
	readonly state: (nowMs: number) => DispatcherState;
};

/** Figures for logs and metrics. */
export type DispatcherSnapshot = {
	readonly waiting: number;
	readonly ownInFlight: number;
	readonly inFlight: number;
	readonly usableSlots: number;
	readonly serviceMs: number;
};

/** What a gateway believes of a service, for logs and metrics. */
export type DispatcherState = InstanceCensus & {
	/** True while work is spread over all usable instances. */
	readonly isSpread: boolean;
	/** Final answers to callers in the last `servedWindowMs`, and those of them that were not served. */
	readonly answered: number;
	readonly unserved: number;
};

/** Creates the dispatcher of a gateway in `dataCentre`; `isUnplaced` tells whether callers are sent elsewhere. */
export const createDispatcher = <Request extends DispatchRequest>(dataCentre: string, random: Random, isUnplaced: () => boolean = () => false): Dispatcher<Request> => {
	const pool = createInstancePool(dataCentre, random);
	const queue = createWaitQueue<Request>();
	let serviceMs = initialServiceMs;
	let isStopped = false;
	let results: Array<{readonly atMs: number; readonly isServed: boolean}> = [];

	const countUnserved = (nowMs: number): number => {
		results = results.filter(({atMs}) => nowMs - atMs < servedWindowMs);
		return results.filter(({isServed}) => !isServed).length;
	};

	const isSpread = (nowMs: number): boolean => {
		const unserved = countUnserved(nowMs);
		return unserved > 1 && unserved > spreadUnservedShare * results.length;
	};

	const contextAt = (nowMs: number): ChoiceContext => ({
		nowMs, serviceMs, isSpread: isSpread(nowMs), isUnplaced: isUnplaced(),
	});

	/** Time until a slot is free for a request behind `ahead` others: this gateway's part of the slots turns over once a service time. */
	const expectedWaitMs = (ahead: number, context: ChoiceContext): number => {
		const own = pool.ownInFlight();
		const all = Math.max(own, pool.inFlight(context));
		const slots = pool.usableSlots(context);
		const ownSlots = Math.max(1, all === 0 ? slots : slots * Math.max(1, own) / all);
		return (ahead + 1) * serviceMs / ownSlots;
	};

	const reject = (reason: RejectReason, context: ChoiceContext): Extract<DispatchDecision, {type: 'reject'}> => {
		if (reason === 'stopping') {
			// Another gateway can take it at once.
			return {type: 'reject', reason, retryAfterMs: minRetryAfterMs};
		}

		const waitMs = expectedWaitMs(queue.length(), context);
		// Spread, so that rejected callers don't come back together.
		const spreadMs = waitMs * (0.5 + random.next());
		return {type: 'reject', reason, retryAfterMs: Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, spreadMs)))};
	};

	/** Latest start of a request that waits: a returning caller has nothing left to lose but the answer itself. */
	const latestStartMs = (request: Request, nowMs: number): number => {
		const lastMs = request.finalAtMs - serviceMs;
		if (request.isReturning || nowMs + serviceMs > request.objectiveAtMs) {
			return lastMs;
		}

		return Math.min(lastMs, nowMs + (maxWaitShare * (request.objectiveAtMs - serviceMs - nowMs)));
	};

	const isPatient = (request: Request, nowMs: number): boolean =>
		queue.waitedMs(request, nowMs) < patienceFactor * serviceMs && nowMs + (2 * serviceMs) < request.finalAtMs;

	return {
		setInstances: pool.setInstances,
		submit(request, nowMs) {
			const context = contextAt(nowMs);
			if (isStopped) {
				return reject('stopping', context);
			}

			if (nowMs >= request.finalAtMs) {
				return reject('expired', context);
			}

			if (!pool.hasOther(request.attemptedIds)) {
				return reject('no-instance', context);
			}

			// Those that wait for a better instance leave the risky ones to others.
			const isFirst = queue.inOrder().every(other => isPatient(other, nowMs) || compareUrgency(other, request) > 0);
			const placement = isFirst ? pool.take(request, context, true) : undefined;
			if (placement !== undefined) {
				return {type: 'send', placement, waitedMs: 0};
			}

			if (nowMs + expectedWaitMs(queue.countBefore(request), context) > latestStartMs(request, nowMs)) {
				const lastChance = isFirst ? pool.take(request, context, false) : undefined;
				return lastChance === undefined ? reject('wait-too-long', context) : {type: 'send', placement: lastChance, waitedMs: 0};
			}

			queue.add(request, nowMs);
			return {type: 'wait'};
		},
		finish(placement, result, nowMs) {
			if (result === 'good') {
				serviceMs += serviceTimeWeight * (nowMs - placement.startedAtMs - serviceMs);
			}

			return pool.finish(placement, result, contextAt(nowMs));
		},
		poll(nowMs) {
			if (queue.length() === 0) {
				return [];
			}

			const decisions: Array<DeferredDecision<Request>> = [];
			const context = contextAt(nowMs);
			let isFull = false;
			for (const request of queue.inOrder()) {
				const waitedMs = queue.waitedMs(request, nowMs);
				const waits = isPatient(request, nowMs);
				const placement = isFull ? undefined : pool.take(request, context, waits);
				if (placement !== undefined) {
					queue.remove(request);
					decisions.push({request, decision: {type: 'send', placement, waitedMs}});
					continue;
				}

				isFull ||= !waits && request.attemptedIds.length === 0;
				if (nowMs + (serviceMs / 2) >= request.finalAtMs || !pool.hasOther(request.attemptedIds)) {
					queue.remove(request);
					decisions.push({request, decision: reject('wait-too-long', context)});
				}
			}

			return decisions;
		},
		stop(nowMs) {
			isStopped = true;
			const context = contextAt(nowMs);
			return queue.inOrder().map(request => {
				queue.remove(request);
				return {request, decision: reject('stopping', context)};
			});
		},
		cancel(request) {
			queue.remove(request);
		},
		recordOutcome(isServed, nowMs) {
			results.push({atMs: nowMs, isServed});
		},
		findStalled: nowMs => pool.findStalled(contextAt(nowMs)),
		report: pool.report,
		receiveReport: pool.hear,
		serviceMs: () => serviceMs,
		explain: pool.explain,
		snapshot(nowMs) {
			const context = contextAt(nowMs);
			return {
				waiting: queue.length(),
				ownInFlight: pool.ownInFlight(),
				inFlight: pool.inFlight(context),
				usableSlots: pool.usableSlots(context),
				serviceMs: Math.round(serviceMs),
			};
		},
		state(nowMs) {
			const unserved = countUnserved(nowMs);
			return {
				...pool.census(contextAt(nowMs)), isSpread: isSpread(nowMs), answered: results.length, unserved,
			};
		},
	};
};
