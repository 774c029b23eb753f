/**
 * Sends one request to one instance and reads its answer.
 *
 * A connection carries one request at a time. It is reused only after a complete exchange, closed when data arrives while it
 * is idle, and destroyed in any unclear state, so that bytes of one answer never reach another request.
 */

import type {Buffer} from 'node:buffer';
import http from 'node:http';
import type net from 'node:net';
import type {Readable} from 'node:stream';
import {createIdleLimit, type InstanceRun, type MemoryBudget} from '@egretwing/core';
import {
	createBodyPieces, createSliceQueue, isSelfDelimited, maxInformationalResponses, type ErrorBarrier,
} from '@egretwing/node';
import {
	causeOf, findFault, findForeign, isNotExecuted, type BrokenCause,
} from './answer-checks.ts';
import {createAnswerFlow} from './answer-flow.ts';
import {createAnswerRest} from './answer-rest.ts';
import type {ReceivedBody} from './body.ts';
import {
	connectTimeoutMs, maxBufferedAnswerBytes, maxDiscardedAnswerBytes, maxDiscardMs, maxReadHeadBytes,
} from './constants.ts';
import {GuardedAgent, setIdleTimeout, type UpstreamSocket} from './instance-connections.ts';
import {readNotice, type InstanceNotice} from './instance-notice.ts';
import {watchReset} from './reset.ts';
import {misdirectedStatusCode} from './status-codes.ts';
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

/** Limit beyond which an answer is streamed: the size of one that is buffered, or the memory for all requests. */
export type StreamCause = 'too-large' | 'no-memory';

/** An answer of an instance; `chunks` are all of its body, or `rest` streams the part that was not buffered. */
export type UpstreamAnswer = {
	readonly statusCode: number;
	readonly headers: http.IncomingHttpHeaders;
	/** What was buffered, in pieces: joining them would take their size twice. */
	readonly chunks: readonly Buffer[];
	/** False when only the close of the connection marks the end of the answer, so that a truncated one looks complete. */
	readonly isBounded: boolean;
	/** Ends only if the answer is complete, and fails otherwise. */
	readonly rest?: Readable;
	/** Which limit the answer exceeded; present with `rest`. */
	readonly streamedBecause?: StreamCause;
	/** Bytes of the answer that have arrived, with its head. */
	readonly arrivedBytes: () => number;
};

/** How an attempt ended. */
export type UpstreamOutcome
	= | {readonly type: 'answered'; readonly answer: UpstreamAnswer}
	/** The instance stated that it did not run the request. */
		| {readonly type: 'not-executed'; readonly statusCode: number}
	/** Nothing was sent. */
		| {readonly type: 'unreachable'; readonly detail: string}
	/** The request may have run, but no complete answer arrived. `isIdleLoss` when the instance seems to have dropped the idle connection. */
		| {
			readonly type: 'broken'; readonly detail: string; readonly cause: BrokenCause; readonly isIdleLoss: boolean;
			/** Bytes of the answer that had arrived, with its head. */
			readonly arrivedBytes: number;
		}
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
	/** What may be held for callers, over all requests. */
	readonly memory: MemoryBudget;
	readonly onConnect: () => void;
	/** Called when an answer says something of its instance, before the attempt ends. */
	readonly onNotice: (target: UpstreamTarget, notice: InstanceNotice, answer: {readonly requestId: string | undefined; readonly statusCode: number}) => void;
};

/** What can be written in the first line of a request, and as its host; the parser of requests lets more pass. */
const sendableTarget = /^[\u0021-\u007E\u0080-\u00FF]+$/v;

/** Whether a request with this target can be sent to an instance as the caller wrote it. */
export const isSendableTarget = (target: string): boolean => sendableTarget.test(target);

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

/** Creates the client of the instances. */
export const createUpstream = ({
	nowMs, localAddress, headerNames, errors, memory, onConnect, onNotice,
}: UpstreamOptions): Upstream => {
	const idleLimit = createIdleLimit();
	const agents = new Map<string, GuardedAgent>();
	const turns = createSliceQueue(() => false);

	const agentOf = ({instanceId}: UpstreamTarget): GuardedAgent => {
		const agent = agents.get(instanceId) ?? new GuardedAgent(nowMs);
		agents.set(instanceId, agent);
		return agent;
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
		let socket: net.Socket | undefined;
		let readBytesBefore = 0;
		let wholeBytes: number | undefined;
		const arrivedBytes = (): number => wholeBytes ?? ((socket?.bytesRead ?? 0) - readBytesBefore);
		let isSent = false;
		let isAborted = false;
		let received: http.IncomingMessage | undefined;
		let rest: Readable | undefined;
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

		const fail = (error: Error, cause = causeOf(error, arrivedBytes())): void => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			clearTimeout(connectTimer);
			if (isAborted) {
				settle({type: 'aborted', isSent});
				return;
			}

			settle(isSent
				? {
					type: 'broken', detail: error.message, cause, arrivedBytes: arrivedBytes(), isIdleLoss: recordIdleLoss(),
				}
				: {type: 'unreachable', detail: error.message});
		};

		const toAnswer = (answer: http.IncomingMessage, chunks: readonly Buffer[]): UpstreamAnswer => ({
			statusCode: answer.statusCode!,
			headers: answer.headers,
			chunks,
			isBounded: isSelfDelimited(request.method, answer.statusCode!, answer.headers),
			arrivedBytes,
		});

		const finish = (answer: http.IncomingMessage, chunks: readonly Buffer[]): void => {
			settle({type: 'answered', answer: toAnswer(answer, chunks)});
		};

		const collect = (answer: http.IncomingMessage): void => {
			const {socket: carrier} = answer;
			const isComplete = watchCompleteness(answer, request.method);
			const flow = createAnswerFlow(answer, turns);
			const pieces = createBodyPieces(request.reserve);
			let sizeBytes = 0;
			const stream = (streamedBecause: StreamCause, first?: Buffer): void => {
				answer.off('data', onData);
				rest = createAnswerRest(answer, {
					flow, memory, isComplete, first,
				});
				settle({type: 'answered', answer: {...toAnswer(answer, pieces.take()), rest, streamedBecause}});
			};

			const onData = (chunk: Buffer): void => {
				sizeBytes += chunk.length;
				if (!pieces.add(chunk)) {
					stream('no-memory', chunk);
				} else if (sizeBytes > maxBufferedAnswerBytes) {
					stream('too-large');
				}
			};

			answer.on('data', flow.recordPiece);
			answer.on('data', onData);
			answer.once('end', () => {
				if (!isComplete()) {
					fail(new Error('answer cut short'));
					return;
				}

				wholeBytes = arrivedBytes();
				setIdleTimeout(carrier, answer.headers['keep-alive']);
				finish(answer, pieces.take());
			});
			answer.once('error', error => {
				fail(error);
			});
		};

		const takeAnswer = (answer: http.IncomingMessage): void => {
			received = answer;
			// An instance that answers before it has read the body would parse the rest of it as a request.
			if (!outgoing.writableFinished) {
				outgoing.shouldKeepAlive = false;
			}

			const foreign = findForeign(answer, requestId, headerNames, outgoing.reusedSocket);
			const statusCode = answer.statusCode!;
			// Where the address belongs to another instance, it speaks of itself and not of the target.
			const notice = foreign === undefined && statusCode !== misdirectedStatusCode ? readNotice(answer, headerNames) : undefined;
			if (notice !== undefined) {
				onNotice(target, notice, {requestId, statusCode});
			}

			const fault = foreign ?? findFault(answer, headerNames);
			if (fault !== undefined) {
				answer.destroy();
				fail(new Error(fault), 'invalid');
				return;
			}

			if (isNotExecuted(answer, headerNames)) {
				discardBody(answer);
				settle({type: 'not-executed', statusCode});
				return;
			}

			collect(answer);
		};

		outgoing.once('socket', assigned => {
			socket = assigned;
			readBytesBefore = assigned.bytesRead;
			const onReady = (): void => {
				isSent = true;
				clearTimeout(connectTimer);
			};

			if (requestId !== undefined) {
				const carrier: UpstreamSocket = assigned;
				carrier.carriedIds = (carrier.carriedIds ?? new Set()).add(requestId);
			}

			if (outgoing.reusedSocket) {
				idleMs = nowMs() - ((assigned as UpstreamSocket).idleSinceMs ?? nowMs());
				onReady();
				return;
			}

			onConnect();
			assigned.once('connect', onReady);
		});

		/** Ignores errors of the connection after a complete answer. */
		const failUnlessReceived = (error: Error): void => {
			if (received?.complete !== true) {
				fail(error);
				rest?.destroy(error);
			}
		};

		let informationalCount = 0;
		outgoing.on('information', () => {
			informationalCount++;
			if (informationalCount > maxInformationalResponses) {
				fail(new Error('too many informational answers'), 'invalid');
				outgoing.destroy();
			}
		});
		outgoing.once('response', answer => {
			try {
				takeAnswer(answer);
			} catch (error) {
				errors.record('answer', error);
				answer.destroy();
				fail(new Error('answer could not be handled'), 'invalid');
			}
		});
		outgoing.on('error', error => {
			failUnlessReceived(error);
		});
		const released = new Promise<void>(resolve => {
			outgoing.once('close', () => {
				failUnlessReceived(new Error('connection closed'));
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
				rest?.destroy(new Error('attempt aborted'));
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
