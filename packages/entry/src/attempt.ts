/**
 * One attempt to send a request to a backend server or, when forwarding, to a peer entry.
 *
 * A connection carries one request at a time and is destroyed on a timeout, an abort or any doubt about its state. An
 * at-most-once request gets a new connection: an idle one may be closing, or may still deliver data that belongs to an
 * earlier request.
 */

import type {Readable} from 'node:stream';
import {Pool, errors, type Dispatcher} from 'undici';
import {
	isSelfDelimited, isStatusCode, forwardedHeaders, maxInformationalResponses, type Headers,
} from '@egretwing/node';
import {BodyError, createRequestBody, type BodyFault} from './body.ts';
import {deadlineHeader, internalHeaders} from './constants.ts';
import type {CallerRequest} from './request.ts';

/** Address that an attempt is sent to. */
export type Destination = {
	readonly address: string;
	readonly port: number;
};

/** Why a request was not written. */
export type NotWrittenReason = 'connect-failed' | 'write-refused' | 'timeout' | 'caller-gone';

/** Why the outcome of a written request is unknown. */
export type UnknownReason = 'connection-lost' | 'timeout' | 'answer-unbounded';

/** How an attempt ended. */
export type AttemptOutcome
	= | {
		readonly type: 'answered';
		readonly statusCode: number;
		readonly headers: Headers;
		readonly body: Readable;
		/** Time at which the last byte of the request body was sent; absent without a body, or if the response came first. */
		readonly bodySentAtMs?: number;
	}
	| {
		/** Nothing was written to any connection. */
		readonly type: 'not-written';
		readonly reason: NotWrittenReason;
	}
	| {
		/** The status code means that the backend server did not run the request. */
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
		/** The caller failed after something may have been written; no evidence about the health of the instance. */
		readonly type: 'caller-failed';
		readonly reason: Exclude<BodyFault, 'backend-slow'>;
	};

/** Options of one attempt. */
export type AttemptOptions = {
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Called immediately before the first byte is written; `false` prevents the write. */
	readonly mayWrite: () => boolean;
	/** True to complete a fully written request after its caller has disconnected, so that the response can be stored. */
	readonly outlivesCaller?: boolean;
	/** Receives the digest of the body after all of it was read; without it no digest is computed. */
	readonly onBodyDigest?: (digest: string) => void;
	/** Headers that extend or override those of the caller. */
	readonly extraHeaders?: Readonly<Record<string, string>>;
	/** Status codes which mean that the request was not run. */
	readonly notRunStatusCodes?: readonly number[];
};

/** Sends requests through connection pools. */
export type Attempts = {
	readonly send: (request: CallerRequest, destination: Destination, options: AttemptOptions) => Promise<AttemptOutcome>;
	readonly close: () => Promise<void>;
};

/** Options that apply to every attempt. */
export type AttemptLimits = {
	/** Maximum time without a byte of the body from the caller. */
	readonly bodyIdleTimeoutMs: number;
	/** Local address of outgoing connections; chosen by the system when absent. */
	readonly localAddress?: string;
	readonly nowMs: () => number;
};

/** Time after which an unused connection of a pool for at-most-once requests is closed. */
const unusedConnectionTimeoutMs = 100;

/** Time without requests to a destination after which its connection pool is closed. */
const idlePoolTimeoutMs = 600_000;

type DestinationPool = {
	readonly pool: Pool;
	readonly dispatcher: Dispatcher;
	usedAtMs: number;
};

/** Maximum delay of a Node.js timer. */
const maxTimerMs = (2 ** 31) - 1;

type GuardedOptions = Dispatcher.RequestOptions & {readonly onWrite?: () => boolean; readonly notRunStatusCodes?: readonly number[] | undefined};

/** Aborts an exchange whose status code means that the request was not run. */
class ShedError extends Error {
	readonly statusCode: number;
	readonly headers: Headers;

	constructor(statusCode: number, headers: Headers) {
		super(`Backend server did not run the request: status ${statusCode}`);
		this.name = 'ShedError';
		this.statusCode = statusCode;
		this.headers = headers;
	}
}

/** Aborts an exchange whose status code is none. */
class InvalidStatusError extends Error {
	constructor(statusCode: number) {
		super(`Backend server sent the status ${statusCode}, which is none`);
		this.name = 'InvalidStatusError';
	}
}

/** Aborts an attempt on the side of the entry. */
class AttemptAbortedError extends Error {
	readonly reason: 'timeout' | 'caller-gone' | 'write-refused';

	constructor(reason: 'timeout' | 'caller-gone' | 'write-refused') {
		super(`Attempt aborted: ${reason}`);
		this.name = 'AttemptAbortedError';
		this.reason = reason;
	}
}

/**
 * Calls `onWrite` just before undici writes the request, and cancels the write if it returns false. Also closes a
 * connection that has carried a "not run" response: if the backend server sent that response a second time, it would be
 * taken for the response to the next request.
 */
const guardRequest: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => dispatch(options, {
	onRequestStart(controller, context) {
		if ((options as GuardedOptions).onWrite?.() === false) {
			throw new AttemptAbortedError('write-refused');
		}

		handler.onRequestStart?.(controller, context);
	},
	onRequestUpgrade: handler.onRequestUpgrade?.bind(handler),
	onResponseStart(controller, statusCode, headers, statusMessage) {
		if (!isStatusCode(statusCode)) {
			controller.abort(new InvalidStatusError(statusCode));
			return;
		}

		if ((options as GuardedOptions).notRunStatusCodes?.includes(statusCode)) {
			controller.abort(new ShedError(statusCode, headers));
			return;
		}

		handler.onResponseStart?.(controller, statusCode, headers, statusMessage);
	},
	onResponseData: handler.onResponseData?.bind(handler),
	onResponseEnd: handler.onResponseEnd?.bind(handler),
	onResponseError: handler.onResponseError?.bind(handler),
});

const classifyError = (error: unknown, isWritten: boolean): AttemptOutcome => {
	const abortReason = error instanceof AttemptAbortedError ? error.reason : undefined;
	if (error instanceof ShedError) {
		return {type: 'shed', statusCode: error.statusCode, headers: error.headers};
	}

	if (!isWritten) {
		return {type: 'not-written', reason: abortReason ?? 'connect-failed'};
	}

	if (error instanceof BodyError) {
		return error.fault === 'backend-slow' ? {type: 'unknown', reason: 'timeout'} : {type: 'caller-failed', reason: error.fault};
	}

	if (abortReason === 'caller-gone') {
		return {type: 'caller-failed', reason: 'caller-gone'};
	}

	const isTimeout = abortReason === 'timeout' || error instanceof errors.BodyTimeoutError;
	return {type: 'unknown', reason: isTimeout ? 'timeout' : 'connection-lost'};
};

/** Creates the sender of attempts; each destination has two connection pools, one of which never reuses a connection. */
export const createAttempts = ({bodyIdleTimeoutMs, localAddress, nowMs}: AttemptLimits): Attempts => {
	const pools = new Map<string, DestinationPool>();

	const closeIdlePools = (): void => {
		for (const [id, {pool, usedAtMs}] of pools) {
			if (nowMs() - usedAtMs > idlePoolTimeoutMs && pool.stats.running + pool.stats.queued === 0) {
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
			return existing.dispatcher;
		}

		closeIdlePools();

		const pool = new Pool(`http://${address}:${port}`, {
			connections: request.service.connectionsPerInstance,
			pipelining: isReused ? 1 : 0,
			connect: {timeout: request.service.connectTimeoutMs},
			...(localAddress !== undefined && {localAddress}),
			headersTimeout: 0,
			...(!isReused && {keepAliveTimeout: unusedConnectionTimeoutMs}),
		});
		const dispatcher = pool.compose(guardRequest);
		pools.set(id, {pool, dispatcher, usedAtMs: nowMs()});
		return dispatcher;
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
		let bodySentAtMs: number | undefined;
		let timer: NodeJS.Timeout | undefined;

		const abortAttempt = (reason: 'timeout' | 'caller-gone'): void => {
			cancel.abort(new AttemptAbortedError(reason));
		};

		const startResponseTimer = (leftMs: number): void => {
			clearTimeout(timer);
			timer = setTimeout(abortAttempt, Math.max(1, leftMs), 'timeout');
		};

		const onCallerGone = (): void => {
			const isFullyWritten = isWritten && (body?.isComplete() ?? true);
			if (!(options.outlivesCaller && isFullyWritten)) {
				abortAttempt('caller-gone');
			}
		};

		const onWrite = (): boolean => {
			// The undici library may retry on a new connection after the old one was closed. Only idempotent requests without a
			// body may be written twice.
			const isAllowed = !isWritten || (request.route.semantics === 'idempotent' && !body);
			if (cancel.signal.aborted || !isAllowed || !options.mayWrite()) {
				return false;
			}

			isWritten = true;
			body?.start();
			return true;
		};

		let informationalCount = 0;
		const onInformational = (): void => {
			informationalCount++;
			if (informationalCount > maxInformationalResponses) {
				cancel.abort(new Error('Too many informational responses'));
			}
		};

		body?.stream.once('end', () => {
			bodySentAtMs = nowMs();
			const digest = body.digest();
			if (digest !== undefined) {
				onBodyDigest?.(digest);
			}

			if (!request.hasDeadline && !cancel.signal.aborted && timer) {
				startResponseTimer(service.requestTimeoutMs);
			}
		});
		if (signal.aborted) {
			return {type: 'not-written', reason: 'caller-gone'};
		}

		signal.addEventListener('abort', onCallerGone, {once: true});
		const leftMs = request.deadlineAtMs - nowMs();
		// Without a deadline from the caller, an upload may continue for as long as it makes progress.
		const isUnboundedUpload = body !== undefined && !request.hasDeadline;
		startResponseTimer(isUnboundedUpload ? maxTimerMs : leftMs);
		const guardedOptions: GuardedOptions = {
			method: request.method,
			path: request.target,
			headers: {
				...forwardedHeaders(request.incoming.headers, internalHeaders),
				...(!isUnboundedUpload && {[deadlineHeader]: String(Math.max(1, Math.floor(leftMs)))}),
				...options.extraHeaders,
			},
			body: body?.stream ?? null,
			bodyTimeout: service.requestTimeoutMs,
			signal: cancel.signal,
			onInfo: onInformational,
			onWrite,
			notRunStatusCodes: options.notRunStatusCodes,
		};
		const cancelled = new Promise<never>((_resolve, reject) => {
			cancel.signal.addEventListener('abort', () => {
				reject(cancel.signal.reason as Error);
			}, {once: true});
		});
		try {
			const response = await Promise.race([dispatcherOf(request, destination).request(guardedOptions), cancelled]);
			clearTimeout(timer);
			timer = undefined;
			if (!isSelfDelimited(request.method, response.statusCode, response.headers)) {
				response.body.on('error', () => undefined).destroy();
				return {type: 'unknown', reason: 'answer-unbounded'};
			}

			response.body.once('close', () => {
				signal.removeEventListener('abort', onCallerGone);
			});
			return {
				type: 'answered', statusCode: response.statusCode, headers: response.headers, body: response.body, ...(bodySentAtMs !== undefined && {bodySentAtMs}),
			};
		} catch (error) {
			clearTimeout(timer);
			timer = undefined;
			signal.removeEventListener('abort', onCallerGone);
			return classifyError(error, isWritten);
		}
	};

	return {
		send,
		async close() {
			await Promise.all([...pools.values()].map(async ({pool}) => pool.close()));
		},
	};
};
