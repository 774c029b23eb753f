/** Runs the attempts of a request at instances: placement, hedges, retries and the final result. */

import {
	createAnswerSizes,
	hedgeDelayMs,
	requestKind,
	type AttemptResult,
	type Catalogue,
	type DispatchPlacement,
	type DispatchRequest,
	type ErrorKind,
	type PrefixRoute,
	type RejectReason,
	type RetryWindow,
	type Workspace,
} from '@egretwing/core';
import type {CallerExchange} from '@egretwing/node';
import {maxConnectFailures} from './constants.ts';
import {refuseWith, type FinalResult} from './deliver.ts';
import type {Dispatchers, PlacementResult} from './dispatchers.ts';
import {
	runHedged, type EndedAttempt, type HedgeChance, type RunningAttempt,
} from './hedge.ts';
import type {HedgedRequest, Hedging} from './hedging.ts';
import type {GatewayMetrics} from './metrics.ts';
import type {QuotaPermit} from './quotas.ts';
import type {RequestLog} from './request-log.ts';
import {firstServerErrorStatusCode, gatewayTimeoutStatusCode, misdirectedStatusCode} from './status-codes.ts';
import type {
	Upstream, UpstreamAnswer, UpstreamOutcome, UpstreamRequest,
} from './upstream.ts';

/** A request in progress. */
export type RequestContext = {
	readonly requestId: string;
	readonly route: PrefixRoute;
	/** Workspace that the request belongs to, if any. */
	readonly workspace: Workspace | undefined;
	readonly service: string;
	readonly arrivedAtMs: number;
	readonly finalAtMs: number;
	readonly isReturning: boolean;
	readonly upstreamRequest: UpstreamRequest;
	/** Answers so far that were too large to buffer and whose rest is still to be read. */
	readonly streamingAnswers: UpstreamAnswer[];
	/** Placements that are not ended, each with what aborts its attempt. */
	readonly running: Map<DispatchPlacement, () => void>;
	readonly exchange: CallerExchange;
};

/** Dependencies of the attempts. */
export type AttemptsDependencies = {
	readonly nowMs: () => number;
	readonly catalogue: Catalogue;
	readonly dispatchers: Dispatchers;
	readonly upstream: Upstream;
	/** Hedges against the slowest answers. */
	readonly hedging: Hedging;
	readonly retryWindow: (service: string) => RetryWindow;
	/** This gateway's share of the fixed part of the fleet's retry budget. */
	readonly retrySlackShare: () => number;
	readonly metrics: GatewayMetrics;
	readonly log: RequestLog;
};

/** Runs a request at instances until it has its final result, and gives back what it held of them. */
export type RunAttempts = (context: RequestContext, permit: QuotaPermit) => Promise<FinalResult>;

const kindOfReject: Readonly<Record<RejectReason, ErrorKind>> = {
	'wait-too-long': 'overloaded',
	'no-instance': 'no-capacity',
	'instances-paused': 'overloaded',
	expired: 'queue-timeout',
	stopping: 'draining',
};

const toResult = (outcome: UpstreamOutcome, isCallerGone: boolean): AttemptResult => {
	switch (outcome.type) {
		case 'answered': {
			const {statusCode} = outcome.answer;
			if (statusCode === gatewayTimeoutStatusCode) {
				return 'no-answer';
			}

			return statusCode >= firstServerErrorStatusCode ? 'server-error' : 'good';
		}

		case 'not-executed': {
			return outcome.statusCode === misdirectedStatusCode ? 'replaced' : 'shed';
		}

		case 'unreachable': {
			return 'unreachable';
		}

		case 'broken': {
			// The loss of an idle connection says nothing about the instance.
			return outcome.isIdleLoss ? 'abandoned' : 'broken';
		}

		case 'aborted': {
			return isCallerGone ? 'abandoned' : 'no-answer';
		}
	}
};

/** Whether the request may have run; false only where it is known that it did not. */
const mayHaveRunAfter = (outcome: UpstreamOutcome): boolean => outcome.type === 'answered' || outcome.type === 'broken' || (outcome.type === 'aborted' && outcome.isSent);

/** Size of the body of an answer, in bytes; what has arrived so far where a streaming answer names no length. */
const sizeOf = ({headers, chunks}: UpstreamAnswer): number =>
	Number(headers['content-length'] ?? chunks.reduce((sumBytes, {length}) => sumBytes + length, 0));

/** Whether the answer can be passed on: one whose end is marked by the close of the connection can't before requests in progress. */
const isDeliverable = ({exchange}: RequestContext, outcome: UpstreamOutcome): boolean =>
	outcome.type !== 'answered' || outcome.answer.isBounded || exchange.decideClose(true);

const kindOf = ({semantics, latencyObjectiveMs}: PrefixRoute): string => requestKind(semantics, latencyObjectiveMs);

/** Creates the attempts of requests. */
export const createAttempts = (dependencies: AttemptsDependencies): RunAttempts => {
	const {
		nowMs, catalogue, dispatchers, upstream, hedging, metrics, log,
	} = dependencies;

	const answerSizes = createAnswerSizes();

	/** Records that a slot of an instance is taken, so that it is given back however the request ends. */
	const hold = ({running}: RequestContext, placement: DispatchPlacement): void => {
		running.set(placement, () => undefined);
	};

	const endPlacement = ({running, service}: RequestContext, placement: DispatchPlacement, result: AttemptResult): void => {
		running.delete(placement);
		dispatchers.finish(service, placement, result);
	};

	const startAttempt = (context: RequestContext, placement: DispatchPlacement): RunningAttempt => {
		const instance = catalogue.ready(context.service).find(({instanceId}) => instanceId === placement.instanceId);
		if (instance === undefined) {
			return {placement, ended: Promise.resolve({type: 'unreachable', detail: 'instance left'}), abort: () => undefined};
		}

		const leftMs = context.finalAtMs - nowMs();
		const {service, instanceId, address, port, bornAtMs} = instance;
		const {outcome, released, abort} = upstream.send({
			service, instanceId, address, port, bornAtMs,
		}, context.upstreamRequest, leftMs);
		context.running.set(placement, abort);
		const timer = setTimeout(abort, Math.max(1, leftMs));
		const {signal} = context.exchange;
		signal.addEventListener('abort', abort, {once: true});
		// The time limit and the caller's abort also apply to the rest of an answer, which is streamed after the outcome is known.
		void released.then(() => {
			clearTimeout(timer);
			signal.removeEventListener('abort', abort);
		});
		return {placement, ended: outcome, abort};
	};

	/** Logs an answer that exceeds a limit of what is buffered, and keeps it so that its connection is closed if it is not passed on. */
	const recordStreaming = ({requestId, service, streamingAnswers}: RequestContext, {instanceId}: DispatchPlacement, outcome: UpstreamOutcome): void => {
		if (outcome.type !== 'answered' || outcome.answer.rest === undefined) {
			return;
		}

		const {answer} = outcome;
		streamingAnswers.push(answer);
		log('answer streamed', {
			requestId, service, instanceId, limit: answer.streamedBecause, arrivedBytes: answer.arrivedBytes(), bufferedPieces: answer.chunks.length,
		});
	};

	/** Decides whether a failed attempt is retried, or why not. */
	const decideRetry = (context: RequestContext, outcome: UpstreamOutcome, sends: number): 'retry' | 'not-repeatable' | 'attempts-spent' | 'no-time' | 'budget-spent' => {
		if (mayHaveRunAfter(outcome) && context.route.semantics !== 'idempotent') {
			return 'not-repeatable';
		}

		if (sends >= context.route.maxAttempts) {
			return 'attempts-spent';
		}

		if (nowMs() + (dispatchers.serviceMs(context.service, kindOf(context.route)) / 2) >= context.finalAtMs) {
			return 'no-time';
		}

		const isFree = outcome.type === 'unreachable';
		return isFree || dependencies.retryWindow(context.service).tryAcquire(dependencies.retrySlackShare(), nowMs()) ? 'retry' : 'budget-spent';
	};

	/** Result for the caller when no further attempt is made. */
	const toFinalResult = (outcome: UpstreamOutcome, instanceId: string, mayHaveRun: boolean, service: string): FinalResult => {
		const ran = mayHaveRun ? 'unknown' : 'not-run';
		switch (outcome.type) {
			case 'answered': {
				return {type: 'answer', answer: outcome.answer, instanceId};
			}

			case 'not-executed': {
				return mayHaveRun ? refuseWith('outcome-unknown', 'earlier attempt broken') : refuseWith('shed-by-backend', 'shed', Math.max(dispatchers.serviceMs(service) / 2, dispatchers.pausedMs(service)));
			}

			case 'unreachable': {
				return mayHaveRun ? refuseWith('outcome-unknown', 'earlier attempt broken') : refuseWith('no-capacity', outcome.detail);
			}

			case 'broken': {
				return refuseWith('outcome-unknown', outcome.detail, undefined, ran);
			}

			case 'aborted': {
				return mayHaveRun ? refuseWith('request-timeout', 'no answer in time') : refuseWith('queue-timeout', 'not sent in time');
			}
		}
	};

	const toDispatchRequest = (context: RequestContext, attemptedIds: readonly string[]): DispatchRequest => ({
		requestId: context.requestId,
		rank: context.workspace?.rank ?? context.route.rank,
		...(context.workspace !== undefined && {workspace: context.workspace.name}),
		kind: kindOf(context.route),
		isIdempotent: context.route.semantics === 'idempotent',
		isReturning: context.isReturning || attemptedIds.length > 0,
		bodyBytes: context.upstreamRequest.body?.sizeBytes ?? 0,
		...(context.route.hasLargeAnswers === true && {answerBytes: answerSizes.expectedBytes(context.service)}),
		objectiveAtMs: context.arrivedAtMs + context.route.latencyObjectiveMs,
		finalAtMs: context.finalAtMs,
		attemptedIds,
	});

	const logSent = ({requestId, route, service}: RequestContext, {instanceId, isTrial}: DispatchPlacement, attempt: number, waitedMs: number): void => {
		const {configVersion, instancesAsOf} = catalogue.digest();
		log('sent', {
			requestId,
			route: route.name,
			service,
			instanceId,
			attempt,
			waitedMs: Math.round(waitedMs),
			isTrial,
			configVersion,
			instancesAsOf,
			...dispatchers.explain(service, instanceId),
		});
	};

	/** Logs that a request is rejected and returns its final result. */
	const toRejection = (context: RequestContext, {reason, retryAfterMs}: Extract<PlacementResult, {type: 'reject'}>): FinalResult => {
		log('rejected', {
			requestId: context.requestId,
			route: context.route.name,
			service: context.service,
			reason,
			retryAfterMs,
			leftMs: Math.round(context.finalAtMs - nowMs()),
			...dispatchers.explain(context.service),
		});
		return refuseWith(kindOfReject[reason], reason, retryAfterMs);
	};

	/** Starts a second attempt beside a silent first one if an instance has a free slot and the retry budget allows it. */
	const startSecond = (context: RequestContext, attemptedIds: readonly string[], attempt: number): RunningAttempt | undefined => {
		const placement = dispatchers.placeNow(context.service, toDispatchRequest(context, attemptedIds));
		if (placement === undefined) {
			return undefined;
		}

		hold(context, placement);
		if (!dependencies.retryWindow(context.service).tryAcquire(dependencies.retrySlackShare(), nowMs())) {
			endPlacement(context, placement, 'abandoned');
			metrics.retriesRefused.inc({reason: 'budget-spent'});
			return undefined;
		}

		metrics.retries.inc({reason: 'silent'});
		logSent(context, placement, attempt, 0);
		return startAttempt(context, placement);
	};

	/** Instances on the backend server of `instanceId`, which share its faults. */
	const instancesBeside = (service: string, instanceId: string): readonly string[] => {
		const instances = catalogue.ready(service);
		const address = instances.find(instance => instance.instanceId === instanceId)?.address;
		return instances.filter(instance => instance.address === address).map(instance => instance.instanceId);
	};

	/** Hedge of an answer that is among the slowest; it is sent at once if the limits allow it, and to another backend server. */
	const slowAnswerChance = (context: RequestContext, {instanceId}: DispatchPlacement, attemptedIds: readonly string[], hedged: HedgedRequest): HedgeChance => ({
		afterMs: hedged.threshold.latencyMs,
		startSecond() {
			if (!hedging.tryStart(hedged, dispatchers.room(context.service))) {
				return undefined;
			}

			const second = startSecond(context, [...attemptedIds, instanceId, ...instancesBeside(context.service, instanceId)], attemptedIds.length + 2);
			hedging.recordSent(hedged, second?.placement.instanceId);
			return second;
		},
	});

	/** Runs an attempt that may be hedged. The last of the returned attempts decides the result. */
	const runHedgeable = async (context: RequestContext, placement: DispatchPlacement, attemptedIds: readonly string[], sends: number): Promise<readonly EndedAttempt[]> => {
		const {service, requestId} = context;
		const threshold = hedging.threshold(service);
		const hedged = threshold === undefined ? undefined : {requestId, service, threshold};
		const chances: HedgeChance[] = [{
			afterMs: hedgeDelayMs({
				nowMs: nowMs(),
				serviceMs: dispatchers.serviceMs(service, kindOf(context.route)),
				objectiveAtMs: context.arrivedAtMs + context.route.latencyObjectiveMs,
				usedBudgetShare: dependencies.retryWindow(service).usedShare(dependencies.retrySlackShare(), nowMs()),
			}),
			startSecond: () => startSecond(context, [...attemptedIds, placement.instanceId], sends + 2),
		}];
		if (hedged !== undefined) {
			chances.push(slowAnswerChance(context, placement, attemptedIds, hedged));
		}

		const ended = await runHedged(startAttempt(context, placement), {
			chances: chances.toSorted((left, right) => left.afterMs - right.afterMs),
			isGood: outcome => toResult(outcome, false) === 'good',
		});
		for (const {placement: {startedAtMs}, outcome, isCancelled} of ended.filter(attempt => attempt.placement === placement)) {
			if (isCancelled || toResult(outcome, false) === 'good') {
				hedging.recordLatency(service, nowMs() - startedAtMs);
			}
		}

		if (hedged !== undefined) {
			const {placement: {instanceId}, outcome} = ended.at(-1)!;
			hedging.recordEnd(hedged, toResult(outcome, false) === 'good' ? instanceId : undefined);
		}

		return ended;
	};

	const runAttempt = async (context: RequestContext, placement: DispatchPlacement, attemptedIds: readonly string[], sends: number): Promise<readonly EndedAttempt[]> =>
		context.route.semantics === 'idempotent' && sends + 2 <= context.route.maxAttempts
			? runHedgeable(context, placement, attemptedIds, sends)
			: [{placement, outcome: await startAttempt(context, placement).ended, isCancelled: false}];

	const runAttempts = async (context: RequestContext, permit: QuotaPermit): Promise<FinalResult> => {
		const {requestId, service, exchange: {signal}} = context;
		const attemptedIds: string[] = [];
		let mayHaveRun = false;
		let sends = 0;
		let connectFailures = 0;
		let lastResult: FinalResult | undefined;
		dependencies.retryWindow(service).recordRequest(nowMs());
		if (context.route.semantics === 'idempotent') {
			hedging.recordRequest(service);
		}

		for (;;) {
			const placed = await dispatchers.place(service, toDispatchRequest(context, attemptedIds), signal);
			if (placed.type === 'cancelled') {
				return {type: 'caller-gone'};
			}

			if (placed.type === 'reject') {
				const rejection = toRejection(context, placed);
				return lastResult ?? rejection;
			}

			hold(context, placed.placement);
			metrics.waitDurationMs.observe({service}, placed.waitedMs);
			logSent(context, placed.placement, sends + 1, placed.waitedMs);
			const ended = await runAttempt(context, placed.placement, attemptedIds, sends);
			for (const {placement, outcome, isCancelled} of ended) {
				const result = isCancelled ? 'abandoned' : toResult(outcome, signal.aborted);
				endPlacement(context, placement, result);
				metrics.attempts.inc({service, result});
				if (context.route.hasLargeAnswers === true && outcome.type === 'answered' && result === 'good') {
					answerSizes.record(service, sizeOf(outcome.answer));
				}

				attemptedIds.push(placement.instanceId);
				connectFailures += Number(outcome.type === 'unreachable');
				sends += Number(outcome.type !== 'unreachable');
				mayHaveRun ||= mayHaveRunAfter(outcome);
				permit.record(mayHaveRun);
				recordStreaming(context, placement, outcome);
			}

			const {placement: {instanceId, startedAtMs}, outcome} = ended.at(-1)!;
			const result = toResult(outcome, signal.aborted);
			const end = result === 'good' && !isDeliverable(context, outcome) ? 'no-length' : result;
			if (end === 'good') {
				return toFinalResult(outcome, instanceId, mayHaveRun, service);
			}

			if (signal.aborted) {
				return {type: 'caller-gone'};
			}

			const decision = connectFailures >= maxConnectFailures ? 'attempts-spent' : decideRetry(context, outcome, sends);
			log('attempt failed', {
				requestId, service, instanceId, result: end, tookMs: Math.round(nowMs() - startedAtMs), retry: decision, ...('detail' in outcome && {detail: outcome.detail}), ...(outcome.type === 'broken' && {cause: outcome.cause, arrivedBytes: outcome.arrivedBytes}),
			});
			// An answer of an instance takes precedence over the failure of a later attempt.
			const final = toFinalResult(outcome, instanceId, mayHaveRun, service);
			lastResult = lastResult?.type === 'answer' ? lastResult : final;
			if (decision !== 'retry') {
				metrics.retriesRefused.inc({reason: decision});
				return lastResult;
			}

			metrics.retries.inc({reason: end});
		}
	};

	/** Gives back what the request still holds of instances when its attempts end by an error. */
	const runAttemptsToEnd = async (context: RequestContext, permit: QuotaPermit): Promise<FinalResult> => {
		try {
			return await runAttempts(context, permit);
		} finally {
			for (const [placement, abort] of context.running) {
				abort();
				endPlacement(context, placement, 'abandoned');
			}
		}
	};

	/** Closes the connections of streaming answers that are not passed to the caller. */
	const closeUnusedAnswers = ({streamingAnswers}: RequestContext, final: FinalResult): void => {
		for (const answer of streamingAnswers) {
			if (final.type !== 'answer' || final.answer !== answer) {
				answer.rest?.destroy();
			}
		}
	};

	return async (context, permit) => {
		const final = await runAttemptsToEnd(context, permit);
		closeUnusedAnswers(context, final);
		return final;
	};
};
