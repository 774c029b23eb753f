/**
 * Sends one request to one instance and reads its answer.
 *
 * A connection carries one request at a time. It is kept only after a whole exchange, watched while it is idle, and
 * destroyed at any doubt, so that bytes of one answer never reach another request.
 */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import type net from 'node:net';
import {createIdleLimit} from '@egretwing/core';
import {isSelfDelimited, maxInformationalResponses} from '@egretwing/node';
import {
	connectTimeoutMs, heldAnswerBytes, idleCloseMarginMs, maxDrainBytes, maxDrainMs, maxIdleConnectionMs, maxReadHeadBytes, maxRequestsPerConnection,
} from './constants.ts';
import {watchReset} from './reset.ts';
import {firstServerErrorStatusCode, misdirectedStatusCode, unavailableStatusCode} from './status-codes.ts';
import type {HeaderNames} from './types.ts';

/** Where an attempt goes. */
export type UpstreamTarget = {
	readonly instanceId: string;
	readonly address: string;
	readonly port: number;
};

/** What is sent. */
export type UpstreamRequest = {
	readonly requestId: string | undefined;
	readonly method: string;
	/** Path with its query, as the caller sent it. */
	readonly target: string;
	readonly headers: Readonly<Record<string, string | string[]>>;
	/** Null when the request has none. */
	readonly body: Buffer | null;
	/** True when it may run more than once, so that it may be the one to find out that a connection is gone. */
	readonly isIdempotent: boolean;
};

/** An answer of an instance; `body` is whole, or `rest` carries what did not fit. */
export type UpstreamAnswer = {
	readonly statusCode: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: Buffer;
	/** False when only the end of the connection marks the end of the answer, so that a cut one looks whole. */
	readonly isBounded: boolean;
	readonly rest?: http.IncomingMessage;
	/** Asked once `rest` has ended. */
	readonly isRestWhole?: () => boolean;
};

/** How an attempt ended. */
export type UpstreamOutcome
	= | {readonly type: 'answered'; readonly answer: UpstreamAnswer}
	/** The instance said that it did not run the request. */
		| {readonly type: 'not-executed'; readonly statusCode: number}
	/** Nothing was sent. */
		| {readonly type: 'unreachable'; readonly detail: string}
	/** The request may have run; no whole answer to it came. `isIdleLoss` when the instance seems to have forgotten the idle connection. */
		| {readonly type: 'broken'; readonly detail: string; readonly isIdleLoss: boolean}
	/** The attempt was given up; the request may have run if `isSent`. */
		| {readonly type: 'aborted'; readonly isSent: boolean};

/** An attempt under way. */
export type UpstreamAttempt = {
	readonly outcome: Promise<UpstreamOutcome>;
	/** Resolves once the connection is closed or free again: after the outcome where the answer has a `rest`. */
	readonly released: Promise<void>;
	/** Closes the connection, so that the instance stops; a `rest` that is not read yet fails. */
	readonly abort: () => void;
};

/** Connections to the instances. */
export type Upstream = {
	readonly send: (target: UpstreamTarget, request: UpstreamRequest, leftMs: number) => UpstreamAttempt;
	/** Drops what is kept for instances that are not in `ids`. */
	readonly retain: (ids: ReadonlySet<string>) => void;
	readonly close: () => void;
};

/** What the upstream needs. */
export type UpstreamOptions = {
	readonly nowMs: () => number;
	readonly localAddress: string;
	readonly headerNames: HeaderNames;
	readonly onConnect: () => void;
};

const msPerSecond = 1000;

const keepAliveHintMs = (header: string | string[] | undefined): number => {
	const seconds = /timeout=(\d+)/v.exec(String(header ?? ''))?.[1];
	return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * msPerSecond;
};

type AnswerSocket = net.Socket & {
	idleGuard?: () => void;
	idleSinceMs?: number;
	/** Ids of the requests that it has carried. */
	carriedIds?: Set<string>;
};

/** Keeps connections for a bounded time and destroys those on which an instance speaks unasked. */
class GuardedAgent extends http.Agent {
	readonly #nowMs: () => number;

	constructor(nowMs: () => number) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
		this.#nowMs = nowMs;
	}

	override keepSocketAlive(socket: AnswerSocket): boolean {
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

	override reuseSocket(socket: AnswerSocket, request: http.ClientRequest): void {
		if (socket.idleGuard !== undefined) {
			socket.off('data', socket.idleGuard);
		}

		socket.setTimeout(0);
		super.reuseSocket(socket, request);
	}

	/** Closes connections that have been idle for longer. */
	dropIdle(limitMs: number): void {
		const beforeMs = this.#nowMs() - limitMs;
		this.#dropFree(({idleSinceMs}) => (idleSinceMs ?? 0) < beforeMs);
	}

	/** Closes idle connections that have carried the request before: an answer to it that comes again would name the right id. */
	dropCarriers(requestId: string): void {
		this.#dropFree(({carriedIds}) => carriedIds?.has(requestId) === true);
	}

	#dropFree(isDropped: (socket: AnswerSocket) => boolean): void {
		for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
			if (isDropped(socket)) {
				socket.destroy();
			}
		}
	}
}

/** Tells, once an answer has ended, whether it is whole: a reset does not complete an answer that has no length. */
const watchWhole = (answer: http.IncomingMessage, method: string): (() => boolean) => {
	if (isSelfDelimited(method, answer.statusCode ?? 0, answer.headers)) {
		return () => answer.complete;
	}

	const isReset = watchReset(answer.socket);
	return () => answer.complete && !isReset();
};

/** Reads an answer that nobody needs, so that its connection can be kept; closes the connection when that takes too much. */
const drain = (answer: http.IncomingMessage): void => {
	let sizeBytes = 0;
	const timer = setTimeout(() => {
		answer.destroy();
	}, maxDrainMs);
	answer.on('data', (chunk: Buffer) => {
		sizeBytes += chunk.length;
		if (sizeBytes > maxDrainBytes) {
			answer.destroy();
		}
	});
	answer.once('close', () => {
		clearTimeout(timer);
	});
};

/** True when an answer says that the instance did not run the request. */
const isNotExecuted = (answer: http.IncomingMessage, names: HeaderNames): boolean =>
	answer.statusCode === misdirectedStatusCode || answer.headers[names.notExecuted] !== undefined;

/** Why an answer can't be that of the request; undefined when it can. */
const findFault = (answer: http.IncomingMessage, request: UpstreamRequest, names: HeaderNames, isReused: boolean): string | undefined => {
	const isRefused = isNotExecuted(answer, names);
	const echoedId = answer.headers[names.requestId];
	const isNamed = echoedId !== undefined && echoedId !== '';
	// A refusal may come from what has no idea of the request; on a kept connection it may as well be an earlier one that comes again.
	const isOwn = isNamed ? echoedId === request.requestId : request.requestId === undefined || (isRefused && !isReused);
	if (!isOwn) {
		return isNamed ? `answer to another request: ${String(echoedId)}` : 'answer that names no request';
	}

	if (isRefused) {
		return undefined;
	}

	// Unsigned, it would count as the gateway's own word: a success, a refusal that tells the caller not to come back, or a promise that nothing ran.
	const statusCode = answer.statusCode ?? 0;
	const isMisleading = statusCode < firstServerErrorStatusCode || statusCode === unavailableStatusCode;
	if (isMisleading && answer.headers[names.signature] === undefined) {
		return `answer ${statusCode} without the signature of the instance`;
	}

	return undefined;
};

/** Creates the connections to the instances. */
export const createUpstream = ({
	nowMs, localAddress, headerNames, onConnect,
}: UpstreamOptions): Upstream => {
	const idleLimit = createIdleLimit();
	const agents = new Map<string, GuardedAgent>();

	const agentOf = ({instanceId}: UpstreamTarget): GuardedAgent => {
		const agent = agents.get(instanceId) ?? new GuardedAgent(nowMs);
		agents.set(instanceId, agent);
		return agent;
	};

	const limitIdle = (socket: net.Socket, header: string | string[] | undefined): void => {
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
			agentOf(target).dropIdle(idleLimitMs);
		}

		if (requestId !== undefined) {
			agentOf(target).dropCarriers(requestId);
		}

		/** How long the connection had been idle; undefined for a new one. */
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
			// Without an id, nothing would tell its answer from what a kept connection still holds.
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
				...(request.body !== null && {'content-length': request.body.length}),
				connection: 'keep-alive',
			},
		});
		// Beyond the default count, Node.js drops headers without a word; their size is bounded.
		outgoing.maxHeadersCount = 0;
		const connectTimer = setTimeout(() => {
			if (!isSent) {
				outgoing.destroy(new Error('connect timeout'));
			}
		}, connectTimeoutMs);

		const noteIdleLoss = (): boolean => {
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

			settle(isSent ? {type: 'broken', detail, isIdleLoss: noteIdleLoss()} : {type: 'unreachable', detail});
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
			const isWhole = watchWhole(answer, request.method);
			const chunks: Buffer[] = [];
			let sizeBytes = 0;
			const onData = (chunk: Buffer): void => {
				chunks.push(chunk);
				sizeBytes += chunk.length;
				if (sizeBytes > heldAnswerBytes) {
					answer.pause();
					answer.off('data', onData);
					settle({type: 'answered', answer: {...toAnswer(answer, chunks), rest: answer, isRestWhole: isWhole}});
				}
			};

			answer.on('data', onData);
			answer.once('end', () => {
				if (!isWhole()) {
					fail('answer cut short');
					return;
				}

				limitIdle(socket, answer.headers['keep-alive']);
				finish(answer, chunks);
			});
			answer.once('error', error => {
				fail(error.message);
			});
		};

		const takeAnswer = (answer: http.IncomingMessage): void => {
			received = answer;
			// An instance that answers before it has read the body would take the rest of it for a request.
			if (!outgoing.writableFinished) {
				outgoing.shouldKeepAlive = false;
			}

			const fault = findFault(answer, request, headerNames, outgoing.reusedSocket);
			if (fault !== undefined) {
				answer.destroy();
				fail(fault);
				return;
			}

			if (isNotExecuted(answer, headerNames)) {
				drain(answer);
				settle({type: 'not-executed', statusCode: answer.statusCode!});
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
				const carrier: AnswerSocket = socket;
				carrier.carriedIds = (carrier.carriedIds ?? new Set()).add(requestId);
			}

			if (outgoing.reusedSocket) {
				idleMs = nowMs() - ((socket as AnswerSocket).idleSinceMs ?? nowMs());
				onReady();
				return;
			}

			onConnect();
			socket.once('connect', onReady);
		});

		/** An error of the connection after a whole answer does not concern the answer. */
		const failUnlessReceived = (detail: string): void => {
			if (received?.complete !== true) {
				fail(detail);
			}
		};

		let informational = 0;
		outgoing.on('information', () => {
			informational++;
			if (informational > maxInformationalResponses) {
				outgoing.destroy(new Error('too many informational answers'));
			}
		});
		outgoing.once('response', takeAnswer);
		outgoing.on('error', error => {
			failUnlessReceived(error.message);
		});
		const released = new Promise<void>(resolve => {
			outgoing.once('close', () => {
				failUnlessReceived('connection closed');
				resolve();
			});
		});
		outgoing.end(request.body ?? undefined);
		return {
			outcome,
			released,
			abort() {
				isAborted = true;
				// Destroyed by its request alone, an answer that has come whole would end without what is not read yet.
				received?.destroy(new Error('attempt given up'));
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
