/** Handles a caller's request: route, access key, body, quota, attempts (`attempts.ts`) and final answer. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	pickService,
	isAcceptedDuringShutdown,
	type ErrorKind,
	type MemoryBudget,
	type PrefixRoute,
	type PrefixRouteTable,
	type Random,
	type ShutdownPlan,
	type WorkspaceAccess,
} from '@egretwing/core';
import {forwardedHeaders, type CallerExchange} from '@egretwing/node';
import {createAttempts, type AttemptsDependencies, type RequestContext} from './attempts.ts';
import {readBody, type ReadBodyResult} from './body.ts';
import {
	maxLoggedNameLength, memoryRetryMs, notReadyRetryMs, startupWaitMs, stoppingRetryMs,
} from './constants.ts';
import {
	refuseWith, type Deliver, type DeliveredRequest, type FinalResult,
} from './deliver.ts';
import {headBytesOf} from './head.ts';
import type {Quotas} from './quotas.ts';
import {firstServerErrorStatusCode} from './status-codes.ts';
import type {HeaderNames} from './types.ts';
import {isSendableTarget} from './upstream.ts';

/** Source of the configuration in force, and when it came into force here. */
export type ConfigOrigin = {
	readonly source: string;
	readonly sinceMs: number;
};

/** Dependencies of the request handler. */
export type ServeDependencies = AttemptsDependencies & {
	readonly random: Random;
	readonly routes: () => PrefixRouteTable;
	/** Access keys of the configuration in force. */
	readonly access: () => WorkspaceAccess;
	readonly configOrigin: () => ConfigOrigin | undefined;
	/** Whether a newer configuration may be in force elsewhere, with routes or higher limits that this gateway does not know yet. */
	readonly isConfigPossiblyStale: () => boolean;
	/** Current limit on the head of a request, in bytes. */
	readonly maxHeadBytes: () => number;
	/** The shutdown in progress, if any. */
	readonly shutdownPlan: () => ShutdownPlan | undefined;
	readonly quotas: Pick<Quotas, 'admit'>;
	/** What may be held for callers, over all requests. */
	readonly memory: MemoryBudget;
	readonly headerNames: HeaderNames;
	readonly deliver: Deliver;
	/** Resolves with true once configuration and instances are known, with false when `signal` aborts before. */
	readonly waitUntilComplete: (signal: AbortSignal) => Promise<boolean>;
};

/** Host and path that a request names. */
type RequestTarget = {
	readonly host: string;
	/** Path with its query. */
	readonly target: string;
};

/** Key of a route lookup. */
type Lookup = {
	readonly hostName: string;
	readonly path: string;
};

/** Text as a header value, which Node.js writes a byte for each character. */
const toHeaderValue = (text: string): string => Buffer.from(text, 'utf8').toString('latin1');

const absoluteFormUrl = /^https?:\/\/(?<host>[^\/?]+)(?<target>.*)$/iv;

/** A request target in absolute form takes precedence over the host header. */
const toTarget = ({url = '/', headers}: http.IncomingMessage): RequestTarget => {
	const {host, target = ''} = absoluteFormUrl.exec(url)?.groups ?? {};
	return host === undefined
		? {host: headers.host ?? '', target: url}
		: {host, target: target.startsWith('/') ? target : `/${target}`};
};

/** Whether the host header is missing, which HTTP/1.1 requires even with a target in absolute form. */
export const isMissingHost = ({headers, httpVersionMajor, httpVersionMinor}: http.IncomingMessage): boolean =>
	headers.host === undefined && httpVersionMajor === 1 && httpVersionMinor >= 1;

/** Headers of a caller's request that instances don't get as the caller wrote them. */
const ownHeaders = (names: HeaderNames, isKeyed: boolean): readonly string[] =>
	[names.deadlineMs, names.targetInstance, names.workspace, ...(isKeyed ? ['authorization'] : [])];

/** Creates the handler of callers' requests. */
export const createServe = (dependencies: ServeDependencies): ((incoming: http.IncomingMessage, response: http.ServerResponse, exchange: CallerExchange) => Promise<void>) => {
	const {
		nowMs, catalogue, dispatchers, headerNames, deliver,
	} = dependencies;
	const runAttempts = createAttempts(dependencies);

	const toLookup = ({host, target}: RequestTarget): Lookup => {
		const [hostName = ''] = host.split(':');
		const [path = ''] = target.split('?', 1);
		return {hostName: hostName.toLowerCase().replace(/\.$/v, ''), path};
	};

	/** Refuses what the configuration in force here does not allow; while a newer one may exist that allows it, asks the caller to retry. */
	const refuseDisallowed = (kind: ErrorKind, reason: string): Extract<FinalResult, {type: 'refusal'}> =>
		dependencies.isConfigPossiblyStale() ? refuseWith('not-ready', `${reason}, configuration doubtful`, notReadyRetryMs) : refuseWith(kind, reason);

	/** Result of a request whose body was not read. */
	const toUnreadResult = (type: Exclude<ReadBodyResult['type'], 'whole'>): FinalResult => {
		switch (type) {
			case 'too-large': {
				return refuseDisallowed('request-too-large', 'body');
			}

			case 'no-memory': {
				return refuseWith('overloaded', 'memory', memoryRetryMs);
			}

			case 'too-slow': {
				return refuseWith('body-incomplete', 'body', undefined, 'not-run');
			}

			case 'caller-gone': {
				return {type: 'caller-gone'};
			}
		}
	};

	const refuseUnrouted = ({hostName, path}: Lookup): FinalResult => {
		const origin = dependencies.configOrigin();
		return {
			...refuseDisallowed('no-route', 'no route'),
			logged: {
				hostName: hostName.slice(0, maxLoggedNameLength),
				firstSegment: path.split('/', 2).join('/').slice(0, maxLoggedNameLength),
				configSource: origin?.source,
				configAgeMs: origin === undefined ? undefined : Math.round(nowMs() - origin.sinceMs),
			},
		};
	};

	/** Refuses a request that needs no instance, or returns its route. */
	const findRoute = (incoming: http.IncomingMessage, target: RequestTarget): PrefixRoute | FinalResult => {
		if (isMissingHost(incoming)) {
			return refuseWith('malformed-request', 'no host');
		}

		if (!isSendableTarget(incoming.url ?? '/')) {
			return refuseWith('malformed-request', 'target');
		}

		if (headBytesOf(incoming) > dependencies.maxHeadBytes()) {
			return refuseDisallowed('headers-too-large', 'headers');
		}

		const lookup = toLookup(target);
		const route = dependencies.routes().match(lookup.hostName, lookup.path);
		if (route === undefined) {
			return refuseUnrouted(lookup);
		}

		return dependencies.access().decide(route, incoming.headers.authorization).type === 'allowed' ? route : refuseDisallowed('key-unknown', 'access key');
	};

	/** Time at which the request gets its final answer, counted from when it was read. */
	const toFinalAtMs = ({headers}: http.IncomingMessage, {timeoutMs}: PrefixRoute, arrivedAtMs: number): number => {
		const callerWaitsMs = Number(headers[headerNames.deadlineMs] ?? Number.NaN);
		return arrivedAtMs + (Number.isFinite(callerWaitsMs) ? Math.min(callerWaitsMs, timeoutMs) : timeoutMs);
	};

	const serveRouted = async (context: RequestContext): Promise<FinalResult> => {
		const {service, finalAtMs} = context;
		const activeShutdown = dependencies.shutdownPlan();
		if (activeShutdown !== undefined && !isAcceptedDuringShutdown(activeShutdown, finalAtMs, nowMs())) {
			return refuseWith('draining', 'may outlast the shutdown', stoppingRetryMs);
		}

		const permit = dependencies.quotas.admit(context.workspace);
		if (permit.type === 'refusal') {
			return permit;
		}

		const final = await runAttempts(context, permit);
		permit.settle();
		if (final.type !== 'caller-gone') {
			dispatchers.recordOutcome(service, final.type === 'answer' && final.answer.statusCode < firstServerErrorStatusCode);
		}

		return final;
	};

	return async (incoming, response, exchange) => {
		const arrivedAtMs = nowMs();
		const lease = dependencies.memory.open();
		response.once('close', lease.release);
		// Node.js closes no response that waits for its turn.
		exchange.signal.addEventListener('abort', lease.release, {once: true});
		const idHeader = incoming.headers[headerNames.requestId];
		const requestId = typeof idHeader === 'string' ? idHeader : '';
		const unrouted: DeliveredRequest = {
			requestId, service: '', arrivedAtMs, finalAtMs: Number.POSITIVE_INFINITY,
		};
		if (!exchange.fitsMemory) {
			incoming.resume();
			await deliver(response, exchange, unrouted, refuseWith('overloaded', 'memory', memoryRetryMs));
			return;
		}

		// A process that has just started gets its catalogue sooner than the caller would find another gateway.
		const isCatalogueComplete = catalogue.isComplete() || (dependencies.shutdownPlan() === undefined && await dependencies.waitUntilComplete(AbortSignal.timeout(startupWaitMs)));
		const config = catalogue.config();
		if (!isCatalogueComplete || config === undefined) {
			await deliver(response, exchange, unrouted, refuseWith('not-ready', config === undefined ? 'no configuration' : 'no instances', notReadyRetryMs));
			return;
		}

		const requestTarget = toTarget(incoming);
		const route = findRoute(incoming, requestTarget);
		if ('type' in route) {
			// What is left of the body must not keep the end of the connection from being noticed.
			incoming.resume();
			await deliver(response, exchange, unrouted, route);
			return;
		}

		const finalAtMs = toFinalAtMs(incoming, route, arrivedAtMs);
		// A limit that is lowered while the body arrives does not apply to it; one that is raised does.
		const read = await readBody(incoming, {
			maxBytes: () => Math.max(config.limits.maxBodyBytes, catalogue.config()?.limits.maxBodyBytes ?? 0),
			fitsMemory: dependencies.memory.fitsAlone,
			reserve: lease.reserve,
			withinMs: finalAtMs - nowMs(),
		});
		if (read.type !== 'whole') {
			lease.release();
			incoming.resume();
			await deliver(response, exchange, unrouted, toUnreadResult(read.type));
			return;
		}

		const service = pickService(route.services, dependencies.random);
		const isIdempotent = route.semantics === 'idempotent';
		exchange.recordBody(read.body?.sizeBytes ?? 0);
		const started = await exchange.untilStart(isIdempotent ? 'repeatable' : 'at-most-once');
		if (started !== 'start') {
			await deliver(response, exchange, {...unrouted, service}, {type: started});
			return;
		}

		// The key may have been withdrawn or moved while the body arrived, or while earlier requests of the connection were answered.
		const access = dependencies.access();
		const current = access.decide(route, incoming.headers.authorization);
		if (current.type === 'unknown-key') {
			await deliver(response, exchange, {...unrouted, service}, refuseDisallowed('key-unknown', 'access key withdrawn'));
			return;
		}

		const {workspace} = current;
		const context: RequestContext = {
			requestId,
			route,
			workspace,
			service,
			arrivedAtMs,
			finalAtMs,
			isReturning: false,
			upstreamRequest: {
				requestId: requestId === '' ? undefined : requestId,
				method: incoming.method ?? 'GET',
				target: requestTarget.target,
				headers: {
					...forwardedHeaders(incoming.headers, ownHeaders(headerNames, access.isKeyed)),
					...(workspace !== undefined && {[headerNames.workspace]: toHeaderValue(workspace.name)}),
					host: requestTarget.host,
				},
				body: read.body,
				isIdempotent,
				reserve: lease.reserve,
			},
			streamingAnswers: [],
			running: new Map(),
			exchange,
		};
		await deliver(response, exchange, context, await serveRouted(context));
	};
};
