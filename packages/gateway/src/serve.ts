/** Takes a caller's request through its stages: route, body, placement, attempts, final answer. */

import type http from 'node:http';
import {
	createRefusal,
	drawService,
	isAcceptedDuringShutdown,
	type AttemptResult,
	type Catalogue,
	type DispatchPlacement,
	type DispatchRequest,
	type ErrorKind,
	type PrefixRoute,
	type PrefixRouteTable,
	type Random,
	type Refusal,
	type RejectReason,
	type RetryWindow,
	type ShutdownPlan,
} from '@egretwing/core';
import {forwardedHeaders, refuse} from '@egretwing/node';
import {readBody} from './body.ts';
import {
	hedgeFactor, loggedNameLength, maxUnreachable, notReadyRetryMs, startWaitMs, stoppingRetryMs, timerSlackMs,
} from './constants.ts';
import type {Dispatchers, Placed} from './dispatchers.ts';
import {runHedged, type EndedAttempt, type RunningAttempt} from './hedge.ts';
import {headBytesOf} from './head.ts';
import type {GatewayMetrics} from './metrics.ts';
import type {RequestLog} from './request-log.ts';
import {firstServerErrorStatusCode, gatewayTimeoutStatusCode, misdirectedStatusCode} from './status-codes.ts';
import type {HeaderNames} from './types.ts';
import type {
	Upstream, UpstreamAnswer, UpstreamOutcome, UpstreamRequest,
} from './upstream.ts';

/** Where the configuration in force came from, and since when it has been in force here. */
export type ConfigOrigin = {
	readonly source: string;
	readonly sinceMs: number;
};

/** What the stages need. */
export type ServeParts = {
	readonly nowMs: () => number;
	readonly random: Random;
	readonly catalogue: Catalogue;
	readonly routes: () => PrefixRouteTable;
	readonly configOrigin: () => ConfigOrigin | undefined;
	/** True while newer configurations may be in force elsewhere, so that a route may be missing, or a limit be low, here alone. */
	readonly isConfigDoubtful: () => boolean;
	/** Largest head that a request may have now. */
	readonly maxHeadBytes: () => number;
	/** The shutdown under way; undefined before one was asked for. */
	readonly stopPlan: () => ShutdownPlan | undefined;
	readonly dispatchers: Dispatchers;
	readonly upstream: Upstream;
	readonly retryWindow: (service: string) => RetryWindow;
	/** This gateway's part of the repeated sends that the fleet is allowed besides a share of its requests. */
	readonly retrySlackShare: () => number;
	readonly headerNames: HeaderNames;
	readonly metrics: GatewayMetrics;
	readonly log: RequestLog;
	/** Resolves with true once configuration and instances are known, with false when `signal` aborts before. */
	readonly whenWhole: (signal: AbortSignal) => Promise<boolean>;
};

/** One request on its way. */
type Context = {
	readonly requestId: string;
	readonly route: PrefixRoute;
	readonly service: string;
	readonly arrivedAtMs: number;
	readonly finalAtMs: number;
	readonly isReturning: boolean;
	readonly upstreamRequest: UpstreamRequest;
	/** Answers so far of which a part is still to be read. */
	readonly longAnswers: UpstreamAnswer[];
	readonly signal: AbortSignal;
};

/** Whom and what a request names. */
type RequestTarget = {
	readonly host: string;
	/** Path with its query. */
	readonly target: string;
};

/** What a route is looked up by. */
type Lookup = {
	readonly hostName: string;
	readonly path: string;
};

/** What a caller is given in the end. */
type Final
	= | {readonly type: 'answer'; readonly answer: UpstreamAnswer; readonly instanceId: string}
		| {
			readonly type: 'refusal'; readonly refusal: Refusal; readonly reason: string; readonly retryAfterMs?: number;
			/** Fields of the log line that tell causes apart. */
			readonly logged?: Readonly<Record<string, unknown>>;
		}
		| {readonly type: 'caller-gone'};

const kindOfReject: Readonly<Record<RejectReason, ErrorKind>> = {
	'wait-too-long': 'overloaded',
	'no-instance': 'no-capacity',
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
			// A forgotten connection says nothing of the instance.
			return outcome.isIdleLoss ? 'abandoned' : 'broken';
		}

		case 'aborted': {
			return isCallerGone ? 'abandoned' : 'no-answer';
		}
	}
};

/** True unless the attempt is known not to have run the request. */
const mayHaveRunAfter = (outcome: UpstreamOutcome): boolean => outcome.type === 'answered' || outcome.type === 'broken' || (outcome.type === 'aborted' && outcome.isSent);

const wholeUrl = /^https?:\/\/(?<host>[^\/?]+)(?<target>.*)$/iv;

/** A whole URL as the target of a request goes before its host header. */
const toTarget = ({url = '/', headers}: http.IncomingMessage): RequestTarget => {
	const {host, target = ''} = wholeUrl.exec(url)?.groups ?? {};
	return host === undefined
		? {host: headers.host ?? '', target: url}
		: {host, target: target.startsWith('/') ? target : `/${target}`};
};

/** HTTP/1.1 requires the header, whatever the target says. */
const lacksHost = ({headers, httpVersionMajor, httpVersionMinor}: http.IncomingMessage): boolean =>
	headers.host === undefined && httpVersionMajor === 1 && httpVersionMinor >= 1;

/** Resets the connection: its orderly end would complete an answer without a length. */
const breakOff = (response: http.ServerResponse): void => {
	if (response.destroyed) {
		return;
	}

	if (response.socket === null) {
		// An earlier answer has the connection; nothing of this one is out yet.
		response.destroy();
		return;
	}

	response.socket.resetAndDestroy();
};

const ownHeaders = (names: HeaderNames): readonly string[] => [names.deadlineMs, names.targetInstance];

/** Creates the handler of callers' requests. */
export const createServe = (parts: ServeParts): ((incoming: http.IncomingMessage, response: http.ServerResponse) => Promise<void>) => {
	const {
		nowMs, catalogue, dispatchers, upstream, headerNames, metrics, log,
	} = parts;

	const refuseWith = (kind: ErrorKind, reason: string, retryAfterMs?: number, ran?: Refusal['ran']): Extract<Final, {type: 'refusal'}> => ({
		type: 'refusal', refusal: createRefusal(kind, ran), reason, ...(retryAfterMs !== undefined && {retryAfterMs}),
	});

	const startAttempt = (context: Context, placement: DispatchPlacement): RunningAttempt => {
		const instance = catalogue.ready(context.service).find(({instanceId}) => instanceId === placement.instanceId);
		if (instance === undefined) {
			return {placement, ended: Promise.resolve({type: 'unreachable', detail: 'instance left'}), abort: () => undefined};
		}

		const leftMs = context.finalAtMs - nowMs();
		const {outcome, released, abort} = upstream.send(instance, context.upstreamRequest, leftMs);
		const timer = setTimeout(abort, Math.max(1, leftMs));
		context.signal.addEventListener('abort', abort, {once: true});
		// Limit and caller end the rest of an answer, too, which is passed on after the outcome is known.
		void released.then(() => {
			clearTimeout(timer);
			context.signal.removeEventListener('abort', abort);
		});
		return {placement, ended: outcome, abort};
	};

	/** Whether a failed attempt is followed by another, and why not. */
	const decideRetry = (context: Context, outcome: UpstreamOutcome, sends: number): 'retry' | 'not-repeatable' | 'attempts-spent' | 'no-time' | 'budget-spent' => {
		if (mayHaveRunAfter(outcome) && context.route.semantics !== 'idempotent') {
			return 'not-repeatable';
		}

		if (sends >= context.route.maxAttempts) {
			return 'attempts-spent';
		}

		if (nowMs() + (dispatchers.serviceMs(context.service) / 2) >= context.finalAtMs) {
			return 'no-time';
		}

		const isFree = outcome.type === 'unreachable';
		return isFree || parts.retryWindow(context.service).tryAcquire(parts.retrySlackShare(), nowMs()) ? 'retry' : 'budget-spent';
	};

	/** What the caller is told when no further attempt is made. */
	const concludeAttempt = (outcome: UpstreamOutcome, instanceId: string, mayHaveRun: boolean, serviceMs: number): Final => {
		const ran = mayHaveRun ? 'unknown' : 'not-run';
		switch (outcome.type) {
			case 'answered': {
				return {type: 'answer', answer: outcome.answer, instanceId};
			}

			case 'not-executed': {
				return mayHaveRun ? refuseWith('outcome-unknown', 'earlier attempt broken') : refuseWith('shed-by-backend', 'shed', serviceMs / 2);
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

	const toDispatchRequest = (context: Context, attemptedIds: readonly string[]): DispatchRequest => ({
		requestId: context.requestId,
		rank: context.route.rank,
		isIdempotent: context.route.semantics === 'idempotent',
		isReturning: context.isReturning || attemptedIds.length > 0,
		bodyBytes: context.upstreamRequest.body?.length ?? 0,
		objectiveAtMs: context.arrivedAtMs + context.route.latencyObjectiveMs,
		finalAtMs: context.finalAtMs,
		attemptedIds,
	});

	const logSent = ({requestId, route, service}: Context, {instanceId, isTrial}: DispatchPlacement, attempt: number, waitedMs: number): void => {
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

	const rejectPlaced = (context: Context, {reason, retryAfterMs}: Extract<Placed, {type: 'reject'}>): Final => {
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

	/** A second attempt beside a silent first one, where an instance has room at once and the fleet's allowance of repeats holds. */
	const startHedge = (context: Context, attemptedIds: readonly string[], attempt: number): RunningAttempt | undefined => {
		const placement = dispatchers.placeNow(context.service, toDispatchRequest(context, attemptedIds));
		if (placement === undefined) {
			return undefined;
		}

		if (!parts.retryWindow(context.service).tryAcquire(parts.retrySlackShare(), nowMs())) {
			dispatchers.finish(context.service, placement, 'abandoned');
			metrics.retriesRefused.inc({reason: 'budget-spent'});
			return undefined;
		}

		metrics.retries.inc({reason: 'silent'});
		logSent(context, placement, attempt, 0);
		return startAttempt(context, placement);
	};

	const runAttempt = async (context: Context, placement: DispatchPlacement, attemptedIds: readonly string[], sends: number): Promise<readonly EndedAttempt[]> => {
		const first = startAttempt(context, placement);
		const mayHedge = context.route.semantics === 'idempotent' && sends + 2 <= context.route.maxAttempts;
		if (!mayHedge) {
			return [{placement, outcome: await first.ended, isLoser: false}];
		}

		return runHedged(first, {
			afterMs: hedgeFactor * dispatchers.serviceMs(context.service),
			startSecond: () => startHedge(context, [...attemptedIds, placement.instanceId], sends + 2),
			isGood: outcome => toResult(outcome, false) === 'good',
		});
	};

	const attemptUntilFinal = async (context: Context): Promise<Final> => {
		const {requestId, service, signal} = context;
		const attemptedIds: string[] = [];
		let mayHaveRun = false;
		let sends = 0;
		let unreachable = 0;
		let last: Final | undefined;
		parts.retryWindow(service).recordRequest(nowMs());
		for (;;) {
			const placed = await dispatchers.place(service, toDispatchRequest(context, attemptedIds), signal);
			if (placed.type === 'cancelled') {
				return {type: 'caller-gone'};
			}

			if (placed.type === 'reject') {
				const rejection = rejectPlaced(context, placed);
				return last ?? rejection;
			}

			metrics.waitDurationMs.observe({service}, placed.waitedMs);
			logSent(context, placed.placement, sends + 1, placed.waitedMs);
			const ended = await runAttempt(context, placed.placement, attemptedIds, sends);
			for (const {placement, outcome, isLoser} of ended) {
				const result = isLoser ? 'abandoned' : toResult(outcome, signal.aborted);
				dispatchers.finish(service, placement, result);
				metrics.attempts.inc({service, result});
				attemptedIds.push(placement.instanceId);
				unreachable += Number(outcome.type === 'unreachable');
				sends += Number(outcome.type !== 'unreachable');
				mayHaveRun ||= mayHaveRunAfter(outcome);
				if (outcome.type === 'answered' && outcome.answer.rest !== undefined) {
					context.longAnswers.push(outcome.answer);
				}
			}

			const {placement: {instanceId, startedAtMs}, outcome} = ended.at(-1)!;
			const result = toResult(outcome, signal.aborted);
			if (result === 'good') {
				return concludeAttempt(outcome, instanceId, mayHaveRun, dispatchers.serviceMs(service));
			}

			if (signal.aborted) {
				return {type: 'caller-gone'};
			}

			const decision = unreachable >= maxUnreachable ? 'attempts-spent' : decideRetry(context, outcome, sends);
			log('attempt failed', {
				requestId, service, instanceId, result, tookMs: Math.round(nowMs() - startedAtMs), retry: decision, ...('detail' in outcome && {detail: outcome.detail}),
			});
			// An answer of an instance says more than the failure of a later attempt.
			const final = concludeAttempt(outcome, instanceId, mayHaveRun, dispatchers.serviceMs(service));
			last = last?.type === 'answer' ? last : final;
			if (decision !== 'retry') {
				metrics.retriesRefused.inc({reason: decision});
				return last;
			}

			metrics.retries.inc({reason: result});
		}
	};

	/** A long answer may be cut off, or its time be over, while other instances are asked; its caller got nothing of it yet. */
	const refuseCutOff = (final: Final, finalAtMs: number): Final => {
		const rest = final.type === 'answer' ? final.answer.rest : undefined;
		const isCutOff = rest !== undefined && (rest.destroyed || nowMs() + timerSlackMs >= finalAtMs);
		return isCutOff ? refuseWith('outcome-unknown', 'answer cut off') : final;
	};

	/** Closes the connections of the long answers that the caller is not given. */
	const closeUnused = ({longAnswers}: Context, final: Final): void => {
		for (const answer of longAnswers) {
			if (final.type !== 'answer' || final.answer !== answer) {
				answer.rest?.destroy();
			}
		}
	};

	const writeAnswer = (response: http.ServerResponse, answer: UpstreamAnswer): void => {
		const {statusCode, headers, body, isBounded, rest, isRestWhole} = answer;
		const kept: http.OutgoingHttpHeaders = forwardedHeaders(headers);
		if (isBounded) {
			response.writeHead(statusCode, rest === undefined ? {'content-length': body.length, ...kept} : kept);
		} else {
			// Nothing says that the answer is whole, so that the caller must not be told a length either.
			response.removeHeader('transfer-encoding');
			response.writeHead(statusCode, {...kept, connection: 'close'});
		}

		if (rest === undefined) {
			response.end(body);
			return;
		}

		response.write(body);
		rest.once('error', () => {
			breakOff(response);
		});
		rest.once('end', () => {
			if (isRestWhole?.() === true) {
				response.end();
			} else {
				breakOff(response);
			}
		});
		rest.pipe(response, {end: false});
	};

	const conclude = (response: http.ServerResponse, context: Pick<Context, 'requestId' | 'arrivedAtMs'> & {readonly service: string}, final: Final): void => {
		const {requestId, service, arrivedAtMs} = context;
		const tookMs = Math.round(nowMs() - arrivedAtMs);
		switch (final.type) {
			case 'answer': {
				writeAnswer(response, final.answer);
				metrics.requests.inc({service, result: String(final.answer.statusCode)});
				metrics.requestDurationMs.observe({service}, tookMs);
				log('answered', {
					requestId, service, instanceId: final.instanceId, statusCode: final.answer.statusCode, tookMs,
				});
				return;
			}

			case 'refusal': {
				const {
					refusal, reason, retryAfterMs, logged,
				} = final;
				refuse(response, refusal, retryAfterMs);
				metrics.requests.inc({service, result: refusal.kind});
				metrics.refusals.inc({kind: refusal.kind, reason});
				log('refused', {
					requestId, service, kind: refusal.kind, ran: refusal.ran, reason, retryAfterMs, tookMs, configVersion: catalogue.digest().configVersion, ...logged,
				});
				return;
			}

			case 'caller-gone': {
				response.destroy();
				metrics.requests.inc({service, result: 'caller-gone'});
				log('caller gone', {requestId, service, tookMs});
			}
		}
	};

	const toLookup = ({host, target}: RequestTarget): Lookup => {
		const [hostName = ''] = host.split(':');
		const [path = ''] = target.split('?', 1);
		return {hostName: hostName.toLowerCase().replace(/\.$/v, ''), path};
	};

	/** Refuses what the configuration in force here does not allow; while a newer one may allow it, the caller is asked to come back. */
	const refuseDisallowed = (kind: ErrorKind, reason: string): Extract<Final, {type: 'refusal'}> =>
		parts.isConfigDoubtful() ? refuseWith('not-ready', `${reason}, configuration doubtful`, notReadyRetryMs) : refuseWith(kind, reason);

	const refuseUnrouted = ({hostName, path}: Lookup): Final => {
		const origin = parts.configOrigin();
		return {
			...refuseDisallowed('no-route', 'no route'),
			logged: {
				hostName: hostName.slice(0, loggedNameLength),
				firstSegment: path.split('/', 2).join('/').slice(0, loggedNameLength),
				configSource: origin?.source,
				configAgeMs: origin === undefined ? undefined : Math.round(nowMs() - origin.sinceMs),
			},
		};
	};

	return async (incoming, response) => {
		const arrivedAtMs = nowMs();
		const idHeader = incoming.headers[headerNames.requestId];
		const requestId = typeof idHeader === 'string' ? idHeader : '';
		const unrouted = {requestId, service: '', arrivedAtMs};
		// A process that has just started knows enough within moments, sooner than the caller finds another gateway.
		const isWhole = catalogue.isComplete() || (parts.stopPlan() === undefined && await parts.whenWhole(AbortSignal.timeout(startWaitMs)));
		const config = catalogue.config();
		if (!isWhole || config === undefined) {
			conclude(response, unrouted, refuseWith('not-ready', config === undefined ? 'no configuration' : 'no instances', notReadyRetryMs));
			return;
		}

		if (lacksHost(incoming)) {
			conclude(response, unrouted, refuseWith('malformed-request', 'no host'));
			return;
		}

		if (headBytesOf(incoming) > parts.maxHeadBytes()) {
			conclude(response, unrouted, refuseDisallowed('headers-too-large', 'headers'));
			return;
		}

		const requestTarget = toTarget(incoming);
		const lookup = toLookup(requestTarget);
		const route = parts.routes().match(lookup.hostName, lookup.path);
		if (route === undefined) {
			conclude(response, unrouted, refuseUnrouted(lookup));
			return;
		}

		const gone = new AbortController();
		response.once('close', () => {
			if (!response.writableFinished) {
				gone.abort();
			}
		});
		// A configuration that changes while the body arrives takes nothing away from it.
		const read = await readBody(incoming, () => Math.max(config.limits.maxBodyBytes, catalogue.config()?.limits.maxBodyBytes ?? 0));
		if (read.type !== 'whole') {
			conclude(response, unrouted, read.type === 'too-large' ? refuseDisallowed('request-too-large', 'body') : {type: 'caller-gone'});
			return;
		}

		const service = drawService(route.services, parts.random);
		const callerWaitsMs = Number(incoming.headers[headerNames.deadlineMs] ?? Number.NaN);
		const limitMs = Number.isFinite(callerWaitsMs) ? Math.min(callerWaitsMs, route.timeoutMs) : route.timeoutMs;
		const finalAtMs = arrivedAtMs + limitMs;
		const stop = parts.stopPlan();
		if (stop !== undefined && !isAcceptedDuringShutdown(stop, finalAtMs, nowMs())) {
			conclude(response, {...unrouted, service}, refuseWith('draining', 'may outlast the shutdown', stoppingRetryMs));
			return;
		}

		const context: Context = {
			requestId,
			route,
			service,
			arrivedAtMs,
			finalAtMs,
			isReturning: false,
			upstreamRequest: {
				requestId: requestId === '' ? undefined : requestId,
				method: incoming.method ?? 'GET',
				target: requestTarget.target,
				headers: {...forwardedHeaders(incoming.headers, ownHeaders(headerNames)), host: requestTarget.host},
				body: read.body,
				isIdempotent: route.semantics === 'idempotent',
			},
			longAnswers: [],
			signal: gone.signal,
		};
		const final = refuseCutOff(await attemptUntilFinal(context), context.finalAtMs);
		closeUnused(context, final);
		if (final.type !== 'caller-gone') {
			dispatchers.noteServed(service, final.type === 'answer' && final.answer.statusCode < firstServerErrorStatusCode);
		}

		conclude(response, context, final);
	};
};
