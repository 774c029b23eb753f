/**
 * Sends one request to one instance and reads its answer.
 *
 * A connection carries one request at a time. It is reused only after a complete exchange, closed when data arrives while it
 * is idle, and destroyed in any unclear state, so that bytes of one answer never reach another request.
 */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import type net from 'node:net';
import {createIdleLimit, type InstanceRun} from '@egretwing/core';
import {isSelfDelimited, maxInformationalResponses, type ErrorBarrier} from '@egretwing/node';
import type {ReceivedBody} from './body.ts';
import {
	connectTimeoutMs, maxBufferedAnswerBytes, idleCloseMarginMs, maxDiscardedAnswerBytes, maxDiscardMs, maxIdleConnectionMs, maxReadHeadBytes, maxRequestsPerConnection,
} from './constants.ts';
import {readNotice, type InstanceNotice} from './instance-notice.ts';
import {watchReset} from './reset.ts';
import {
	firstFinalStatusCode, firstServerErrorStatusCode, misdirectedStatusCode, unavailableStatusCode,
} from './status-codes.ts';
import type {HeaderNames} from './types.ts';

/** Destination of an attempt. */
export type UpstreamTarget = InstanceRun & {readonly service: string};

/** Request as it is sent to an instance. */
export type UpstreamRequest = {
	readonly requestId: string | undefined;
	readonly method: string;
	/** Path with its query, as the caller sent it. */
	readonly target: string;
	readonly headers: Readonly<Record<string, string | string[]>>;
	/** Null when the request has no body. */
	readonly body: ReceivedBody | null;
	/** Whether it may run more than once, so that it may be sent on an idle connection that the instance may have dropped. */
	readonly isIdempotent: boolean;
	/** Takes memory for a piece of an answer; what comes after one that does not fit is not buffered. */
	readonly reserve: (sizeBytes: number) => boolean;
};

/** An answer of an instance; `body` is complete, or `rest` streams the part that was not buffered. */
export type UpstreamAnswer = {
	readonly statusCode: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: Buffer;
	/** False when only the close of the connection marks the end of the answer, so that a truncated one looks complete. */
	readonly isBounded: boolean;
	readonly rest?: http.IncomingMessage;
	/** Whether `rest` was complete; to be called once it has ended. */
	readonly isRestWhole?: () => boolean;
};

/** How an attempt ended. */
export type UpstreamOutcome
	= | {readonly type: 'answered'; readonly answer: UpstreamAnswer}
	/** The instance stated that it did not run the request. */
		| {readonly type: 'not-executed'; readonly statusCode: number}
	/** Nothing was sent. */
		| {readonly type: 'unreachable'; readonly detail: string}
	/** The request may have run, but no complete answer arrived. `isIdleLoss` when the instance seems to have dropped the idle connection. */
		| {readonly type: 'broken'; readonly detail: string; readonly isIdleLoss: boolean}
	/** The attempt was aborted; the request may have run if `isSent`. */
		| {readonly type: 'aborted'; readonly isSent: boolean};

/** An attempt in progress. */
export type UpstreamAttempt = {
	readonly outcome: Promise<UpstreamOutcome>;
	/** Resolves once the connection is closed or idle again, which is after the outcome where the answer has a `rest`. */
	readonly released: Promise<void>;
	/** Closes the connection, so that the instance stops working on the request; an unread `rest` fails. */
	readonly abort: () => void;
};

/** Client of the instances, with a connection pool for each. */
export type Upstream = {
	readonly send: (target: UpstreamTarget, request: UpstreamRequest, leftMs: number) => UpstreamAttempt;
	/** Closes the pools of instances that are not in `ids`. */
	readonly retain: (ids: ReadonlySet<string>) => void;
	readonly close: () => void;
};

/** Dependencies of the upstream. */
export type UpstreamOptions = {
	readonly nowMs: () => number;
	readonly localAddress: string;
	readonly headerNames: HeaderNames;
	readonly errors: ErrorBarrier;
	readonly onConnect: () => void;
	/** Called when an answer says something of its instance, before the attempt ends. */
	readonly onNotice: (target: UpstreamTarget, notice: InstanceNotice, answer: {readonly requestId: string | undefined; readonly statusCode: number}) => void;
};

const msPerSecond = 1000;

/** What can be written in the first line of a request, and as its host; the parser of requests lets more pass. */
const sendableTarget = /^[\u0021-\u007E\u0080-\u00FF]+$/v;

/** Whether a request with this target can be sent to an instance as the caller wrote it. */
export const isSendableTarget = (target: string): boolean => sendableTarget.test(target);

const keepAliveHintMs = (header: string | string[] | undefined): number => {
	const seconds = /timeout=(\d+)/v.exec(String(header ?? ''))?.[1];
	return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * msPerSecond;
};

type UpstreamSocket = net.Socket & {
	idleGuard?: () => void;
	idleSinceMs?: number;
	/** Ids of the requests that were sent on it. */
	carriedIds?: Set<string>;
};

/** Connection pool that bounds the reuse of connections and destroys those on which an instance sends unsolicited data. */
class GuardedAgent extends http.Agent {
	readonly #nowMs: () => number;

	constructor(nowMs: () => number) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
		this.#nowMs = nowMs;
	}

	override keepSocketAlive(socket: UpstreamSocket): boolean {
		if (socket.destroyed || socket.readableLength > 0 || (socket.carriedIds?.size ?? 0) >= maxRequestsPerConnection) {
			return false;
		}

		socket.idleSinceMs = this.#nowMs();
		socket.idleGuard = () => {
			socket.destroy();
		};

		socket.on('data', socket.idleGuard);
		socket.setKeepAlive(true, msPerSecond);
		socket.unref();
		return true;
	}

	override reuseSocket(socket: UpstreamSocket, request: http.ClientRequest): void {
		if (socket.idleGuard !== undefined) {
			socket.off('data', socket.idleGuard);
		}

		socket.setTimeout(0);
		super.reuseSocket(socket, request);
	}

	closeIdleLongerThan(limitMs: number): void {
		const beforeMs = this.#nowMs() - limitMs;
		this.#closeFree(({idleSinceMs}) => (idleSinceMs ?? 0) < beforeMs);
	}

	/** Closes idle connections that carried this request before: a repeated earlier answer would have the right id. */
	closeCarriersOf(requestId: string): void {
		this.#closeFree(({carriedIds}) => carriedIds?.has(requestId) === true);
	}

	#closeFree(isSelected: (socket: UpstreamSocket) => boolean): void {
		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			if (isSelected(socket)) {
				socket.destroy();
				// The agent may hand out a destroyed connection until it is told.
				socket.emit('agentRemove');
			}
		}
	}
}

/** Returns a function that tells, once the answer has ended, whether it is complete. A reset makes an answer without a length incomplete. */
const watchCompleteness = (answer: http.IncomingMessage, method: string): (() => boolean) => {
	if (isSelfDelimited(method, answer.statusCode ?? 0, answer.headers)) {
		return () => answer.complete;
	}

	const isReset = watchReset(answer.socket);
	return () => answer.complete && !isReset();
};

/** Reads and discards an answer, so that its connection can be reused; closes the connection beyond the limits of size and time. */
const discardBody = (answer: http.IncomingMessage): void => {
	let sizeBytes = 0;
	const timer = setTimeout(() => {
		answer.destroy();
	}, maxDiscardMs);
	answer.on('data', (chunk: Buffer) => {
		sizeBytes += chunk.length;
		if (sizeBytes > maxDiscardedAnswerBytes) {
			answer.destroy();
		}
	});
	answer.once('close', () => {
		clearTimeout(timer);
	});
};

/** Whether an answer states that the instance did not run the request. */
const isNotExecuted = (answer: http.IncomingMessage, names: HeaderNames): boolean =>
	answer.statusCode === misdirectedStatusCode || answer.headers[names.notExecuted] !== undefined;

/** Why an answer can't belong to the request; undefined when it does. */
const findForeign = (answer: http.IncomingMessage, request: UpstreamRequest, names: HeaderNames, isReused: boolean): string | undefined => {
	const echoedId = answer.headers[names.requestId];
	const isNamed = echoedId !== undefined && echoedId !== '';
	// A refusal may come from a component that does not know the request id; on a reused connection it may be a repeated earlier one.
	const isOwn = isNamed ? echoedId === request.requestId : request.requestId === undefined || (isNotExecuted(answer, names) && !isReused);
	if (isOwn) {
		return undefined;
	}

	return isNamed ? `answer to another request: ${String(echoedId)}` : 'answer that names no request';
};

/** Why an answer to the request can't be trusted; undefined when it is acceptable. */
const findFault = (answer: http.IncomingMessage, names: HeaderNames): string | undefined => {
	if (isNotExecuted(answer, names)) {
		return undefined;
	}

	// Without a signature the caller would attribute it to the gateway: a success, a final refusal, or a promise that nothing ran.
	const statusCode = answer.statusCode ?? 0;
	if (statusCode < firstFinalStatusCode) {
		return `answer with the status ${statusCode}, which is none`;
	}

	const isMisleading = statusCode < firstServerErrorStatusCode || statusCode === unavailableStatusCode;
	if (isMisleading && answer.headers[names.signature] === undefined) {
		return `answer ${statusCode} without the signature of the instance`;
	}

	return undefined;
};

/** Creates the client of the instances. */
export const createUpstream = ({
	nowMs, localAddress, headerNames, errors, onConnect, onNotice,
}: UpstreamOptions): Upstream => {
	const idleLimit = createIdleLimit();
	const agents = new Map<string, GuardedAgent>();

	const agentOf = ({instanceId}: UpstreamTarget): GuardedAgent => {
		const agent = agents.get(instanceId) ?? new GuardedAgent(nowMs);
		agents.set(instanceId, agent);
		return agent;
	};

	const setIdleTimeout = (socket: net.Socket, header: string | string[] | undefined): void => {
		const idleMs = Math.min(maxIdleConnectionMs, keepAliveHintMs(header) - idleCloseMarginMs);
		if (idleMs <= 0) {
			socket.destroySoon();
			return;
		}

		socket.setTimeout(idleMs);
	};

	const send = (target: UpstreamTarget, request: UpstreamRequest, leftMs: number): UpstreamAttempt => {
		const {requestId} = request;
		const idleLimitMs = idleLimit.limitMs(nowMs());
		if (idleLimitMs !== undefined && !request.isIdempotent) {
			agentOf(target).closeIdleLongerThan(idleLimitMs);
		}

		if (requestId !== undefined) {
			agentOf(target).closeCarriersOf(requestId);
		}

		/** How long the connection was idle before; undefined for a new one. */
		let idleMs: number | undefined;
		let isSent = false;
		let isAborted = false;
		let received: http.IncomingMessage | undefined;
		let isEnded = false;
		let settle: (outcome: UpstreamOutcome) => void;
		const outcome = new Promise<UpstreamOutcome>(resolve => {
			settle = resolve;
		});
		const outgoing = http.request({
			// Without an id, its answer could not be told from leftover data on a reused connection.
			agent: requestId === undefined ? false : agentOf(target),
			host: target.address,
			port: target.port,
			localAddress,
			method: request.method,
			path: request.target,
			setHost: false,
			maxHeaderSize: maxReadHeadBytes,
			headers: {
				...request.headers,
				[headerNames.deadlineMs]: String(Math.max(1, Math.floor(leftMs))),
				[headerNames.targetInstance]: target.instanceId,
				...(request.body !== null && {'content-length': request.body.sizeBytes}),
				connection: 'keep-alive',
			},
		});
		// By default Node.js silently drops headers beyond a count; here their total size is limited instead.
		outgoing.maxHeadersCount = 0;
		const connectTimer = setTimeout(() => {
			if (!isSent) {
				outgoing.destroy(new Error('connect timeout'));
			}
		}, connectTimeoutMs);

		const recordIdleLoss = (): boolean => {
			if (idleMs === undefined || received !== undefined) {
				return false;
			}

			idleLimit.recordReset(idleMs, nowMs());
			const limitMs = idleLimit.limitMs(nowMs());
			return limitMs !== undefined && idleMs > limitMs;
		};

		const fail = (detail: string): void => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			clearTimeout(connectTimer);
			if (isAborted) {
				settle({type: 'aborted', isSent});
				return;
			}

			settle(isSent ? {type: 'broken', detail, isIdleLoss: recordIdleLoss()} : {type: 'unreachable', detail});
		};

		const toAnswer = (answer: http.IncomingMessage, chunks: readonly Buffer[]): UpstreamAnswer => ({
			statusCode: answer.statusCode!,
			headers: answer.headers,
			body: Buffer.concat(chunks),
			isBounded: isSelfDelimited(request.method, answer.statusCode!, answer.headers),
		});

		const finish = (answer: http.IncomingMessage, chunks: readonly Buffer[]): void => {
			settle({type: 'answered', answer: toAnswer(answer, chunks)});
		};

		const collect = (answer: http.IncomingMessage): void => {
			const {socket} = answer;
			const isComplete = watchCompleteness(answer, request.method);
			const chunks: Buffer[] = [];
			let sizeBytes = 0;
			const onData = (chunk: Buffer): void => {
				chunks.push(chunk);
				sizeBytes += chunk.length;
				if (!request.reserve(chunk.length) || sizeBytes > maxBufferedAnswerBytes) {
					answer.pause();
					answer.off('data', onData);
					settle({type: 'answered', answer: {...toAnswer(answer, chunks), rest: answer, isRestWhole: isComplete}});
				}
			};

			answer.on('data', onData);
			answer.once('end', () => {
				if (!isComplete()) {
					fail('answer cut short');
					return;
				}

				setIdleTimeout(socket, answer.headers['keep-alive']);
				finish(answer, chunks);
			});
			answer.once('error', error => {
				fail(error.message);
			});
		};

		const takeAnswer = (answer: http.IncomingMessage): void => {
			received = answer;
			// An instance that answers before it has read the body would parse the rest of it as a request.
			if (!outgoing.writableFinished) {
				outgoing.shouldKeepAlive = false;
			}

			const foreign = findForeign(answer, request, headerNames, outgoing.reusedSocket);
			const statusCode = answer.statusCode!;
			// Where the address belongs to another instance, it speaks of itself and not of the target.
			const notice = foreign === undefined && statusCode !== misdirectedStatusCode ? readNotice(answer, headerNames) : undefined;
			if (notice !== undefined) {
				onNotice(target, notice, {requestId, statusCode});
			}

			const fault = foreign ?? findFault(answer, headerNames);
			if (fault !== undefined) {
				answer.destroy();
				fail(fault);
				return;
			}

			if (isNotExecuted(answer, headerNames)) {
				discardBody(answer);
				settle({type: 'not-executed', statusCode});
				return;
			}

			collect(answer);
		};

		outgoing.once('socket', socket => {
			const onReady = (): void => {
				isSent = true;
				clearTimeout(connectTimer);
			};

			if (requestId !== undefined) {
				const carrier: UpstreamSocket = socket;
				carrier.carriedIds = (carrier.carriedIds ?? new Set()).add(requestId);
			}

			if (outgoing.reusedSocket) {
				idleMs = nowMs() - ((socket as UpstreamSocket).idleSinceMs ?? nowMs());
				onReady();
				return;
			}

			onConnect();
			socket.once('connect', onReady);
		});

		/** Ignores errors of the connection after a complete answer. */
		const failUnlessReceived = (detail: string): void => {
			if (received?.complete !== true) {
				fail(detail);
			}
		};

		let informationalCount = 0;
		outgoing.on('information', () => {
			informationalCount++;
			if (informationalCount > maxInformationalResponses) {
				outgoing.destroy(new Error('too many informational answers'));
			}
		});
		outgoing.once('response', answer => {
			try {
				takeAnswer(answer);
			} catch (error) {
				errors.record('answer', error);
				answer.destroy();
				fail('answer could not be handled');
			}
		});
		outgoing.on('error', error => {
			failUnlessReceived(error.message);
		});
		const released = new Promise<void>(resolve => {
			outgoing.once('close', () => {
				failUnlessReceived('connection closed');
				resolve();
			});
		});
		for (const chunk of request.body?.chunks ?? []) {
			outgoing.write(chunk);
		}

		outgoing.end();
		return {
			outcome,
			released,
			abort() {
				isAborted = true;
				// If only its request were destroyed, a completely received answer would end normally without its unread part.
				received?.destroy(new Error('attempt aborted'));
				outgoing.destroy();
			},
		};
	};

	return {
		send,
		retain(ids) {
			for (const [id, agent] of agents) {
				if (!ids.has(id) && Object.keys(agent.sockets).length === 0) {
					agent.destroy();
					agents.delete(id);
				}
			}
		},
		close() {
			for (const agent of agents.values()) {
				agent.destroy();
			}
		},
	};
};
