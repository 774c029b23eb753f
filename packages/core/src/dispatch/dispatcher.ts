/**
 * Decides for each request to a service whether to send it now, queue it, or reject it.
 *
 * Handles bursts (a short queue; a request that would wait beyond its objective is rejected), sustained overload (what
 * can't be served in time is rejected at once with a retry time), partial failures (see `instance-pool.ts`), and instances
 * that ask for a pause (a request that can't start after the first pause to end is rejected at once).
 */

import type {Random} from '../random.ts';
import {
	maxRetryAfterMs, maxWaitShare, minRetryAfterMs, preferredWaitFactor, outcomeWindowMs, spreadUnservedShare,
} from './constants.ts';
import {
	createInstancePool, type ChoiceContext, type InstanceCounts, type InstancePool,
} from './instance-pool.ts';
import type {PausedRun} from './instance-pauses.ts';
import {createServiceTimes} from './service-times.ts';
import type {
	AttemptResult, DispatchDecision, DispatchInstance, DispatchReport, DispatchRequest, DeferredDecision, Placement, RejectReason,
} from './types.ts';
import {createUrgentReserve} from './urgent-reserve.ts';
import {createWaitQueue} from './wait-queue.ts';

/** Dispatch decisions of one gateway for one service. */
export type Dispatcher<Request extends DispatchRequest> = {
	readonly setInstances: (instances: readonly DispatchInstance[]) => void;
	readonly submit: (request: Request, nowMs: number) => DispatchDecision;
	/** Takes a slot that is free now, without a place in the queue; undefined when the request would wait or be rejected. */
	readonly placeNow: (request: Request, nowMs: number) => Placement | undefined;
	/** Ends an attempt; returns true when its instance is avoided from now on. Call `poll` afterwards. */
	readonly finish: (placement: Placement, result: AttemptResult, nowMs: number) => boolean;
	/** Returns decisions about waiting requests; to be called after each change and every few tens of milliseconds. */
	readonly poll: (nowMs: number) => ReadonlyArray<DeferredDecision<Request>>;
	/** Rejects all waiting and all later requests. */
	readonly stop: (nowMs: number) => ReadonlyArray<DeferredDecision<Request>>;
	/** Removes a waiting request whose caller disconnected. */
	readonly cancel: (request: Request) => void;
	/** Keeps requests from a run of an instance that wants none for `pauseMs`. Call `poll` afterwards. */
	readonly pause: (run: PausedRun, pauseMs: number, nowMs: number) => void;
	/** Time until an instance is out of its pause, `maxRetryAfterMs` at most; 0 when one is. */
	readonly pausedMs: (nowMs: number) => number;
	/** Records a final answer to a caller. */
	readonly recordOutcome: (isServed: boolean, nowMs: number) => void;
	/** Ids of the instances found stalled since the last call. */
	readonly findStalled: (nowMs: number) => readonly string[];
	readonly report: (nowMs: number) => DispatchReport;
	readonly receiveReport: (peerId: string, report: DispatchReport, nowMs: number) => void;
	/** Mean service time of the requests of a kind, or of all. */
	readonly serviceMs: (kind?: string) => number;
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

/** State of a service as seen by one gateway, for logs and metrics. */
export type DispatcherState = InstanceCounts & {
	/** True while work is spread over all usable instances. */
	readonly isSpread: boolean;
	/** Final answers to callers in the last `outcomeWindowMs`, and those of them that were not served. */
	readonly answered: number;
	readonly unserved: number;
	/** Present once requests name workspaces, or were held back. */
	readonly contention?: Contention;
};

/** Contention between workspaces, or kinds of request, for the slots of a service, as seen by one gateway. */
export type Contention = {
	/** Waiting requests. */
	readonly waiting: number;
	/** Workspaces with waiting requests. */
	readonly waitingWorkspaces: number;
	/** Requests rejected while they waited, since the state was last read, because others were put before them. */
	readonly displaced: number;
	/** Times since then that a request was left waiting beside free slots, which are kept for urgent ones. */
	readonly heldBack: number;
};

/** Creates the dispatcher of a gateway in `dataCentre`; `isUnplaced` returns true while callers are sent to other gateways. */
export const createDispatcher = <Request extends DispatchRequest>(dataCentre: string, random: Random, isUnplaced: () => boolean = () => false): Dispatcher<Request> => {
	const pool = createInstancePool(dataCentre, random);
	const queue = createWaitQueue<Request>();
	const serviceTimes = createServiceTimes();
	const reserve = createUrgentReserve();
	let isStopped = false;
	/** Requests displaced since the last call of `state`. */
	let displaced = 0;
	let isContentionSeen = false;
	let outcomes: Array<{readonly atMs: number; readonly isServed: boolean}> = [];

	const countUnserved = (nowMs: number): number => {
		outcomes = outcomes.filter(({atMs}) => nowMs - atMs < outcomeWindowMs);
		return outcomes.filter(({isServed}) => !isServed).length;
	};

	const isSpread = (nowMs: number): boolean => {
		const unserved = countUnserved(nowMs);
		return unserved > 1 && unserved > spreadUnservedShare * outcomes.length;
	};

	const contextAt = (nowMs: number): ChoiceContext => ({
		nowMs, serviceMs: serviceTimes.meanMs(), kindServiceMs: serviceTimes.ofKindMs, isSpread: isSpread(nowMs), isUnplaced: isUnplaced(),
	});

	/** Expected wait behind `ahead` other requests: this gateway's share of the slots becomes free once each service time. */
	const expectedWaitMs = (ahead: number, context: ChoiceContext): number => {
		const own = pool.ownInFlight();
		const all = Math.max(own, pool.inFlight(context));
		const slots = pool.usableSlots(context);
		const ownSlots = Math.max(1, all === 0 ? slots : slots * Math.max(1, own) / all);
		return (ahead + 1) * context.serviceMs / ownSlots;
	};

	/** Expected start behind `ahead` other requests. Instances have free slots when their pauses end, but get one request at a time at first. */
	const expectedStartMs = (availableAtMs: number, ahead: number, context: ChoiceContext): number =>
		availableAtMs > context.nowMs ? availableAtMs + (ahead * context.serviceMs) : context.nowMs + expectedWaitMs(ahead, context);

	const pausedMs = (nowMs: number): number => {
		const availableAtMs = pool.availableAtMs([], nowMs);
		return availableAtMs === Number.POSITIVE_INFINITY ? 0 : Math.min(maxRetryAfterMs, availableAtMs - nowMs);
	};

	/** Why a request that can't be sent now has to be rejected. */
	const reasonAt = (availableAtMs: number, nowMs: number): RejectReason => {
		if (availableAtMs === Number.POSITIVE_INFINITY) {
			return 'no-instance';
		}

		return availableAtMs > nowMs ? 'instances-paused' : 'wait-too-long';
	};

	const reject = (reason: RejectReason, context: ChoiceContext): Extract<DispatchDecision, {type: 'reject'}> => {
		if (reason === 'stopping') {
			// Another gateway can accept it at once.
			return {type: 'reject', reason, retryAfterMs: minRetryAfterMs};
		}

		const waitMs = expectedWaitMs(queue.length(), context);
		// Jitter, so that rejected callers don't retry at the same time.
		const jitteredMs = pausedMs(context.nowMs) + (waitMs * (0.5 + random.next()));
		return {type: 'reject', reason, retryAfterMs: Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, jitteredMs)))};
	};

	/** Only the final deadline counts when the objective can't be met, and for a returning caller, who has only the answer left to lose. */
	const isObjectiveLost = (request: Request, nowMs: number): boolean => request.isReturning || nowMs + serviceTimes.ofKindMs(request.kind) > request.objectiveAtMs;

	/** Start after which a request that waits has lost what it waits for. */
	const lastUsefulStartMs = (request: Request, nowMs: number): number => {
		const serviceMs = serviceTimes.ofKindMs(request.kind);
		const lastMs = request.finalAtMs - serviceMs;
		return isObjectiveLost(request, nowMs) ? lastMs : Math.min(lastMs, request.objectiveAtMs - serviceMs);
	};

	/** Latest expected start with which a request is queued. An urgent one is not rejected for its objective: less urgent ones would take its slot. */
	const latestStartMs = (request: Request, nowMs: number): number => {
		const serviceMs = serviceTimes.ofKindMs(request.kind);
		const lastMs = request.finalAtMs - serviceMs;
		return isObjectiveLost(request, nowMs) || reserve.isUrgent(request.rank, serviceMs) ? lastMs : Math.min(lastMs, nowMs + (maxWaitShare * (request.objectiveAtMs - serviceMs - nowMs)));
	};

	const prefersToWait = (request: Request, nowMs: number): boolean => {
		const serviceMs = serviceTimes.ofKindMs(request.kind);
		return queue.waitedMs(request, nowMs) < preferredWaitFactor * Math.min(serviceMs, serviceTimes.meanMs()) && nowMs + (2 * serviceMs) < request.finalAtMs;
	};

	const isHeldBack = ({rank, kind}: Request, context: ChoiceContext): boolean => reserve.holdsBack(rank, serviceTimes.ofKindMs(kind), () => ({
		usable: pool.usableSlots(context), inFlight: pool.inFlight(context), ownInFlight: pool.ownInFlight(),
	}), context.nowMs);

	const acquire = (request: Request, context: ChoiceContext, isWaitPreferred: boolean): Placement | undefined => {
		const placement = pool.acquire(request, context, isWaitPreferred);
		if (placement !== undefined) {
			queue.recordStart(request);
			reserve.recordStart(placement, request.rank);
		}

		return placement;
	};

	/** Decides about a request that has just arrived. */
	const decide = (request: Request, nowMs: number): DispatchDecision => {
		const context = contextAt(nowMs);
		if (isStopped) {
			return reject('stopping', context);
		}

		if (nowMs >= request.finalAtMs) {
			return reject('expired', context);
		}

		const availableAtMs = pool.availableAtMs(request.attemptedIds, nowMs);
		if (availableAtMs === Number.POSITIVE_INFINITY) {
			return reject('no-instance', context);
		}

		if (request.attemptedIds.length === 0) {
			queue.recordArrival(request, nowMs);
			reserve.recordArrival(request.rank, nowMs);
		}

		const before = queue.before(request);
		// Requests that prefer to wait leave the risky instances to the others.
		const isFirst = before.every(other => prefersToWait(other, nowMs)) && !isHeldBack(request, context);
		const placement = isFirst ? acquire(request, context, true) : undefined;
		if (placement !== undefined) {
			return {type: 'send', placement, waitedMs: 0};
		}

		if (expectedStartMs(availableAtMs, before.length, context) <= latestStartMs(request, nowMs)) {
			return {type: 'wait'};
		}

		const lastChance = isFirst ? acquire(request, context, false) : undefined;
		return lastChance === undefined ? reject(reasonAt(availableAtMs, nowMs), context) : {type: 'send', placement: lastChance, waitedMs: 0};
	};

	return {
		setInstances: pool.setInstances,
		submit(request, nowMs) {
			const decision = decide(request, nowMs);
			if (decision.type === 'wait') {
				queue.add(request, lastUsefulStartMs(request, nowMs), nowMs);
			}

			return decision;
		},
		placeNow(request, nowMs) {
			const decision = decide(request, nowMs);
			return decision.type === 'send' ? decision.placement : undefined;
		},
		finish(placement, result, nowMs) {
			reserve.recordEnd(placement, result === 'good', nowMs);
			if (result === 'good') {
				serviceTimes.record(placement.kind, nowMs - placement.startedAtMs);
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
			let ahead = 0;
			for (const request of queue.inOrder()) {
				const waitedMs = queue.waitedMs(request, nowMs);
				const isWaitPreferred = prefersToWait(request, nowMs);
				const isHeld: boolean = !isFull && isHeldBack(request, context);
				const placement = isFull || isHeld ? undefined : acquire(request, context, isWaitPreferred);
				if (placement !== undefined) {
					queue.remove(request);
					decisions.push({request, decision: {type: 'send', placement, waitedMs}});
					continue;
				}

				isFull ||= !isHeld && !isWaitPreferred && request.attemptedIds.length === 0;
				const availableAtMs = pool.availableAtMs(request.attemptedIds, nowMs);
				const place = ahead;
				const isDisplaced = queue.isDisplaced(request, () => expectedStartMs(availableAtMs, place, context));
				if (isDisplaced || availableAtMs + (serviceTimes.ofKindMs(request.kind) / 2) >= request.finalAtMs) {
					displaced += Number(isDisplaced);
					queue.remove(request);
					decisions.push({request, decision: reject(reasonAt(availableAtMs, nowMs), context)});
				} else {
					ahead++;
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
		pause(run, pauseMs, nowMs) {
			pool.pause(run, nowMs + pauseMs, nowMs);
		},
		pausedMs,
		cancel(request) {
			queue.remove(request);
		},
		recordOutcome(isServed, nowMs) {
			outcomes.push({atMs: nowMs, isServed});
		},
		findStalled: nowMs => pool.findStalled(contextAt(nowMs)),
		report: pool.report,
		receiveReport: pool.receiveReport,
		serviceMs: serviceTimes.ofKindMs,
		explain: pool.explain,
		snapshot(nowMs) {
			const context = contextAt(nowMs);
			return {
				waiting: queue.length(),
				ownInFlight: pool.ownInFlight(),
				inFlight: pool.inFlight(context),
				usableSlots: pool.usableSlots(context),
				serviceMs: Math.round(context.serviceMs),
			};
		},
		state(nowMs) {
			const unserved = countUnserved(nowMs);
			const contention = {
				waiting: queue.length(), waitingWorkspaces: queue.workspaces(), displaced, heldBack: reserve.takeHeld(),
			};
			displaced = 0;
			isContentionSeen ||= queue.isShared() || contention.heldBack > 0;
			return {
				...pool.countInstances(contextAt(nowMs)), isSpread: isSpread(nowMs), answered: outcomes.length, unserved, ...(isContentionSeen && {contention}),
			};
		},
	};
};
