/**
 * One attempt of a request at one backend server or, for forwarding, at one peer entry.
 *
 * A connection carries one request at a time and is destroyed on a timeout, an abort or any doubt. An at-most-once
 * request gets a connection of its own: an idle one may be closing, or may still deliver what belongs to a request
 * before it.
 */

import type {Readable} from 'node:stream';
import {Pool, errors, type Dispatcher} from 'undici';
import {
	isSelfDelimited, forwardedHeaders, maxInformationalResponses, type Headers,
} from '@egretwing/node';
import {BodyError, createRequestBody, type BodyFault} from './body.ts';
import {deadlineHeader, ownHeaders} from './constants.ts';
import type {CallerRequest} from './request.ts';

/** Where an attempt goes. */
export type Destination = {
	readonly address: string;
	readonly port: number;
};

/** Why nothing was written. */
export type NotWrittenReason = 'connect-failed' | 'write-refused' | 'timeout' | 'caller-gone';

/** Why the outcome of what was written is unknown. */
export type UnknownReason = 'connection-lost' | 'timeout' | 'answer-unbounded';

/** How an attempt ended. */
export type AttemptOutcome
	= | {
		readonly type: 'answered';
		readonly statusCode: number;
		readonly headers: Headers;
		readonly body: Readable;
		/** When the last byte of the request's body was passed on; absent without a body, or when the answer came before. */
		readonly sentWholeAtMs?: number;
	}
	| {
		/** Nothing was written to any connection. */
		readonly type: 'not-written';
		readonly reason: NotWrittenReason;
	}
	| {
		/** The backend server said by its status that it did not run the request. */
		readonly type: 'shed';
		readonly statusCode: number;
		readonly headers: Headers;
	}
	| {
		/** The connection was lost or timed out after something may have been written. */
		readonly type: 'unknown';
		readonly reason: UnknownReason;
	}
	| {
		/** The caller's side failed after something may have been written; says nothing about the instance. */
		readonly type: 'caller-failed';
		readonly reason: Exclude<BodyFault, 'backend-slow'>;
	};

/** How one attempt is made. */
export type AttemptOptions = {
	/** Aborts when the caller is gone. */
	readonly signal: AbortSignal;
	/** Asked immediately before the first byte is written. */
	readonly mayWrite: () => boolean;
	/** True when a request that was written whole goes on without its caller, so that its answer can be kept. */
	readonly outlivesCaller?: boolean;
	/** Receives the digest of the body once all of it was read; asks for it to be computed. */
	readonly onBodyDigest?: (digest: string) => void;
	/** Headers added to, or put in place of, the caller's. */
	readonly extraHeaders?: Readonly<Record<string, string>>;
	/** Status codes that say "not run". */
	readonly notRunStatusCodes?: readonly number[];
};

/** Sends requests over pooled connections. */
export type Attempts = {
	readonly send: (request: CallerRequest, destination: Destination, options: AttemptOptions) => Promise<AttemptOutcome>;
	readonly close: () => Promise<void>;
};

/** Bounds that are the same for every attempt. */
export type AttemptLimits = {
	/** Longest time without a byte of the body from the caller. */
	readonly bodyIdleTimeoutMs: number;
	/** Address that connections are made from; chosen by the system when absent. */
	readonly localAddress?: string;
	readonly nowMs: () => number;
};

/** How long a connection without a request is kept for an at-most-once request. */
const unusedConnectionMs = 100;

/** How long the connections to a destination are kept without any request to it. */
const unusedPoolMs = 600_000;

type DestinationPool = {
	readonly pool: Pool;
	readonly guarded: Dispatcher;
	usedAtMs: number;
};

/** Longest time that a timer of Node can wait. */
const longestTimerMs = (2 ** 31) - 1;

type GuardedOptions = Dispatcher.RequestOptions & {readonly onWrite?: () => boolean; readonly notRunStatusCodes?: readonly number[] | undefined};

/** The backend server refused the request. */
class ShedEnd extends Error {
	readonly statusCode: number;
	readonly headers: Headers;

	constructor(statusCode: number, headers: Headers) {
		super(`The request was refused with ${statusCode}`);
		this.name = 'ShedEnd';
		this.statusCode = statusCode;
		this.headers = headers;
	}
}

class AttemptEnd extends Error {
	readonly reason: 'timeout' | 'caller-gone' | 'write-refused';

	constructor(reason: 'timeout' | 'caller-gone' | 'write-refused') {
		super(`The attempt ended: ${reason}`);
		this.name = 'AttemptEnd';
		this.reason = reason;
	}
}

/**
 * Asks `onWrite` at the moment at which undici is about to write the request, and writes nothing if it says no. Closes a
 * connection that has carried a refusal: written once more, it could not be told from that of the next request.
 */
const guardExchange: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => dispatch(options, {
	onRequestStart(controller, context) {
		if ((options as GuardedOptions).onWrite?.() === false) {
			throw new AttemptEnd('write-refused');
		}

		handler.onRequestStart?.(controller, context);
	},
	onRequestUpgrade: handler.onRequestUpgrade?.bind(handler),
	onResponseStart(controller, statusCode, headers, statusMessage) {
		if ((options as GuardedOptions).notRunStatusCodes?.includes(statusCode)) {
			controller.abort(new ShedEnd(statusCode, headers));
			return;
		}

		handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
	},
	onResponseData: handler.onResponseData?.bind(handler),
	onResponseEnd: handler.onResponseEnd?.bind(handler),
	onResponseError: handler.onResponseError?.bind(handler),
});

const classify = (error: unknown, isWritten: boolean): AttemptOutcome => {
	const ended = error instanceof AttemptEnd ? error.reason : undefined;
	if (error instanceof ShedEnd) {
		return {type: 'shed', statusCode: error.statusCode, headers: error.headers};
	}

	if (!isWritten) {
		return {type: 'not-written', reason: ended ?? 'connect-failed'};
	}

	if (error instanceof BodyError) {
		return error.fault === 'backend-slow' ? {type: 'unknown', reason: 'timeout'} : {type: 'caller-failed', reason: error.fault};
	}

	if (ended === 'caller-gone') {
		return {type: 'caller-failed', reason: 'caller-gone'};
	}

	const isTimeout = ended === 'timeout' || error instanceof errors.BodyTimeoutError;
	return {type: 'unknown', reason: isTimeout ? 'timeout' : 'connection-lost'};
};

/** Creates the attempts; two pools of connections for each destination, one of them without reuse. */
export const createAttempts = ({bodyIdleTimeoutMs, localAddress, nowMs}: AttemptLimits): Attempts => {
	const pools = new Map<string, DestinationPool>();

	const closeUnused = (): void => {
		for (const [id, {pool, usedAtMs}] of pools) {
			if (nowMs() - usedAtMs > unusedPoolMs && pool.stats.running + pool.stats.queued === 0) {
				pools.delete(id);
				void pool.close();
			}
		}
	};

	const dispatcherOf = (request: CallerRequest, {address, port}: Destination): Dispatcher => {
		const isReused = request.route.semantics === 'idempotent';
		const id = `${address}:${port} ${isReused}`;
		const existing = pools.get(id);
		if (existing) {
			existing.usedAtMs = nowMs();
			return existing.guarded;
		}

		closeUnused();

		const pool = new Pool(`http://${address}:${port}`, {
			connections: request.service.connectionsPerInstance,
			pipelining: isReused ? 1 : 0,
			connect: {timeout: request.service.connectTimeoutMs},
			...(localAddress !== undefined && {localAddress}),
			headersTimeout: 0,
			...(!isReused && {keepAliveTimeout: unusedConnectionMs}),
		});
		const guarded = pool.compose(guardExchange);
		pools.set(id, {pool, guarded, usedAtMs: nowMs()});
		return guarded;
	};

	const send = async (request: CallerRequest, destination: Destination, options: AttemptOptions): Promise<AttemptOutcome> => {
		const {service} = request;
		const {signal, onBodyDigest} = options;
		const cancel = new AbortController();
		const body = request.hasBody
			? createRequestBody(request.incoming, {
				maxBytes: request.route.maxBodyBytes,
				idleTimeoutMs: bodyIdleTimeoutMs,
				stallTimeoutMs: service.requestTimeoutMs,
				digested: onBodyDigest !== undefined,
			})
			: undefined;
		let isWritten = false;
		let sentWholeAtMs: number | undefined;
		let timer: NodeJS.Timeout | undefined;

		const end = (reason: 'timeout' | 'caller-gone'): void => {
			cancel.abort(new AttemptEnd(reason));
		};

		const limitAnswer = (leftMs: number): void => {
			clearTimeout(timer);
			timer = setTimeout(end, Math.max(1, leftMs), 'timeout');
		};

		const onCallerGone = (): void => {
			const isWholeWritten = isWritten && (body?.isWhole() ?? true);
			if (!(options.outlivesCaller && isWholeWritten)) {
				end('caller-gone');
			}
		};

		const onWrite = (): boolean => {
			// The library may write again on a new connection when the old one closed; only an idempotent request may be.
			const isAllowed = !isWritten || (request.route.semantics === 'idempotent' && !body);
			if (cancel.signal.aborted || !isAllowed || !options.mayWrite()) {
				return false;
			}

			isWritten = true;
			body?.start();
			return true;
		};

		let informational = 0;
		const onInfo = (): void => {
			informational++;
			if (informational > maxInformationalResponses) {
				cancel.abort(new Error('Too many informational answers'));
			}
		};

		body?.stream.once('end', () => {
			sentWholeAtMs = nowMs();
			const digest = body.digest();
			if (digest !== undefined) {
				onBodyDigest?.(digest);
			}

			if (!request.hasDeadline && !cancel.signal.aborted && timer) {
				limitAnswer(service.requestTimeoutMs);
			}
		});
		if (signal.aborted) {
			return {type: 'not-written', reason: 'caller-gone'};
		}

		signal.addEventListener('abort', onCallerGone, {once: true});
		const leftMs = request.deadlineAtMs - nowMs();
		// Without a deadline of the caller's own, an upload may take as long as it moves.
		const isUnboundedUpload = body !== undefined && !request.hasDeadline;
		limitAnswer(isUnboundedUpload ? longestTimerMs : leftMs);
		const guardedOptions: GuardedOptions = {
			method: request.method,
			path: request.target,
			headers: {
				...forwardedHeaders(request.incoming.headers, ownHeaders),
				...(!isUnboundedUpload && {[deadlineHeader]: String(Math.max(1, Math.floor(leftMs)))}),
				...options.extraHeaders,
			},
			body: body?.stream ?? null,
			bodyTimeout: service.requestTimeoutMs,
			signal: cancel.signal,
			onInfo,
			onWrite,
			notRunStatusCodes: options.notRunStatusCodes,
		};
		const cancelled = new Promise<never>((_resolve, reject) => {
			cancel.signal.addEventListener('abort', () => {
				reject(cancel.signal.reason as Error);
			}, {once: true});
		});
		try {
			const answer = await Promise.race([dispatcherOf(request, destination).request(guardedOptions), cancelled]);
			clearTimeout(timer);
			timer = undefined;
			if (!isSelfDelimited(request.method, answer.statusCode, answer.headers)) {
				answer.body.on('error', () => undefined).destroy();
				return {type: 'unknown', reason: 'answer-unbounded'};
			}

			answer.body.once('close', () => {
				signal.removeEventListener('abort', onCallerGone);
			});
			return {
				type: 'answered', statusCode: answer.statusCode, headers: answer.headers, body: answer.body, ...(sentWholeAtMs !== undefined && {sentWholeAtMs}),
			};
		} catch (error) {
			clearTimeout(timer);
			timer = undefined;
			signal.removeEventListener('abort', onCallerGone);
			return classify(error, isWritten);
		}
	};

	return {
		send,
		async close() {
			await Promise.all([...pools.values()].map(async ({pool}) => pool.close()));
		},
	};
};
