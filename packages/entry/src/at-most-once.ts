/** Serves at-most-once requests with a key: runs, replays, forwards or refuses them, or waits for a run in progress. */

import type http from 'node:http';
import {
	createRefusal, parseKey, type Clock, type KeyOwner, type AtMostOnceGate, type AtMostOnceRequest, type AtMostOnceTicket, type Refusal, type StoredAnswer,
} from '@egretwing/core';
import {refuse} from '@egretwing/node';
import {
	forwardAndStoreResponse, forwardResponse, replayResponse, type AnsweredOutcome,
} from './response.ts';
import type {AttemptOptions} from './attempt.ts';
import {BodyError, digestBody, emptyDigest} from './body.ts';
import type {Forwarder} from './forward.ts';
import type {CallerRequest} from './request.ts';

/** Result of the attempts for a request. */
export type ServeResult
	= | {readonly type: 'refused'; readonly refusal: Refusal}
		| {
			readonly type: 'answered';
			readonly outcome: AnsweredOutcome;
			readonly instanceId: string;
			/** Releases the slot of the instance. */
			readonly release: () => void;
		};

/** The options of an attempt that this stage sets. */
export type RunOptions = Pick<AttemptOptions, 'signal' | 'mayWrite' | 'outlivesCaller' | 'onBodyDigest'> & {
	/** Called if the backend server reported that it did not run the request, so that it may be written again. */
	readonly onShed?: () => void;
};

/** Dependencies and limits of the stage. */
export type AtMostOnceStageOptions = {
	readonly clock: Clock;
	readonly gate: AtMostOnceGate;
	readonly forwarder: Forwarder;
	readonly maxAnswerBytes: number;
	readonly bodyIdleTimeoutMs: number;
	/** Sends the request to backend servers until one answers or no further attempt is allowed. */
	readonly run: (request: CallerRequest, options: RunOptions) => Promise<ServeResult>;
};

/** Serves one request with a key; resolves with the value of the `result` metric label. */
export type AtMostOnceStage = (request: CallerRequest, response: http.ServerResponse, signal: AbortSignal) => Promise<string>;

/** A request that is being served, and the response to its caller. */
type Exchange = {
	readonly request: CallerRequest;
	readonly response: http.ServerResponse;
	readonly signal: AbortSignal;
};

/** A run in progress, for whose outcome resends of the same request wait. */
type PendingRun = {
	/** Resolves with the refusal that resends receive too, or with `undefined` when the gate holds the outcome. */
	readonly settled: Promise<Refusal | undefined>;
	readonly settle: (refusal?: Refusal) => void;
};

const createPendingRun = (): PendingRun => {
	let settle: PendingRun['settle'] = () => undefined;
	const settled = new Promise<Refusal | undefined>(resolve => {
		settle = resolve;
	});
	return {
		settled, settle(refusal) {
			settle(refusal);
		},
	};
};

/** Resolves with the result of `work`, or with `fallback` after `durationMs`. */
const withTimeout = async <T>(work: Promise<T>, durationMs: number, fallback: T): Promise<T> => {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<T>(resolve => {
		timer = setTimeout(resolve, Math.max(0, durationMs), fallback);
	});
	try {
		return await Promise.race([work, timeout]);
	} finally {
		clearTimeout(timer);
	}
};

export const createAtMostOnceStage = (options: AtMostOnceStageOptions): AtMostOnceStage => {
	const {clock, gate, forwarder} = options;
	const pendingRuns = new Map<string, PendingRun>();

	const sendRefusal = (response: http.ServerResponse, refusal: Refusal): string => {
		refuse(response, refusal);
		return refusal.kind;
	};

	const forwardAndSettle = async (served: Extract<ServeResult, {type: 'answered'}>, {request, response}: Exchange, ticket: AtMostOnceTicket): Promise<string> => {
		const {result, stored, finish} = await forwardAndStoreResponse(response, served.outcome, {
			maxAnswerBytes: options.maxAnswerBytes, instanceId: served.instanceId, idleTimeoutMs: options.bodyIdleTimeoutMs + request.service.requestTimeoutMs,
		});
		served.release();
		gate.settle(ticket, result === 'whole' ? {type: 'ran', ...(stored && {answer: stored})} : {type: 'unknown'});
		finish();
		return result;
	};

	const settleRefused = (ticket: AtMostOnceTicket, {ran}: Refusal): void => {
		gate.settle(ticket, {type: ran});
	};

	const runLocally = async ({request, response, signal}: Exchange, ticket: AtMostOnceTicket): Promise<string> => {
		const pendingRun = createPendingRun();
		pendingRuns.set(ticket.id, pendingRun);
		if (!request.hasBody) {
			gate.recordBodyDigest(ticket.id, emptyDigest);
		}

		let refusal: Refusal | undefined = createRefusal('internal-error');
		try {
			const served = await options.run(request, {
				signal,
				outlivesCaller: true,
				mayWrite: () => gate.confirmWrite(ticket, clock.nowMs()).type === 'write',
				onShed() {
					gate.reopen(ticket);
				},
				onBodyDigest(digest) {
					gate.recordBodyDigest(ticket.id, digest);
				},
			});
			if (served.type === 'answered') {
				refusal = undefined;
				return await forwardAndSettle(served, {request, response, signal}, ticket);
			}

			refusal = served.refusal;
			settleRefused(ticket, refusal);
			return sendRefusal(response, refusal);
		} catch (error) {
			gate.settle(ticket, {type: 'unknown'});
			throw error;
		} finally {
			pendingRuns.delete(ticket.id);
			pendingRun.settle(refusal);
		}
	};

	/** Replays `stored` if the body of the resend matches the body that ran. */
	const replay = (response: http.ServerResponse, id: string, stored: StoredAnswer, digest: string): string => {
		if (!gate.matchesBodyDigest(id, digest)) {
			return sendRefusal(response, createRefusal('key-mismatch'));
		}

		replayResponse(response, stored);
		return 'replayed';
	};

	const readDigest = async (request: CallerRequest): Promise<string> => request.hasBody
		? digestBody(request.incoming, {
			maxBytes: request.route.maxBodyBytes, idleTimeoutMs: options.bodyIdleTimeoutMs, stallTimeoutMs: options.bodyIdleTimeoutMs,
		})
		: emptyDigest;

	const answerResend = async ({request, response}: Exchange, id: string): Promise<string> => {
		const digest = await readDigest(request);
		const pendingRun = pendingRuns.get(id);
		if (pendingRun) {
			const refusal = await withTimeout(pendingRun.settled, request.deadlineAtMs - clock.nowMs(), createRefusal('request-timeout'));
			if (refusal) {
				return sendRefusal(response, refusal);
			}
		}

		const decision = gate.decideAfterWait(id);
		switch (decision.type) {
			case 'replay': {
				return replay(response, id, decision.answer, digest);
			}

			case 'refuse': {
				return sendRefusal(response, decision.refusal);
			}

			case 'wait':
			case 'run':
			case 'forward': {
				return sendRefusal(response, createRefusal('outcome-unknown'));
			}
		}
	};

	const forward = async ({request, response, signal}: Exchange, gateRequest: AtMostOnceRequest, owner: KeyOwner): Promise<string> => {
		const outcome = await forwarder.send({...request, mark: gateRequest.mark}, owner, {signal, mayWrite: () => clock.nowMs() < request.deadlineAtMs});
		switch (outcome.type) {
			case 'answered': {
				return forwardResponse(response, outcome, undefined, options.bodyIdleTimeoutMs + request.service.requestTimeoutMs);
			}

			case 'not-written': {
				return sendRefusal(response, gate.createOwnerUnreachableRefusal(gateRequest, false, clock.nowMs()));
			}

			case 'unknown': {
				return sendRefusal(response, outcome.reason === 'timeout' ? createRefusal('request-timeout') : gate.createOwnerUnreachableRefusal(gateRequest, true, clock.nowMs()));
			}

			case 'caller-failed':
			case 'shed': {
				return sendRefusal(response, gate.createOwnerUnreachableRefusal(gateRequest, true, clock.nowMs()));
			}
		}
	};

	const decideAndServe = async (exchange: Exchange): Promise<string> => {
		const {request, response} = exchange;
		const key = parseKey(request.idempotencyKey ?? '');
		const origin = forwarder.originOf(request);
		if (key.isErr() || origin === 'forged') {
			return sendRefusal(response, createRefusal(key.isErr() ? key.error : 'forward-refused'));
		}

		const gateRequest: AtMostOnceRequest = {
			key: key.value,
			workspace: request.workspace,
			fingerprint: `${request.method} ${request.target}`,
			mark: request.mark,
			isForwarded: origin === 'entry',
			deadlineMs: request.deadlineAtMs,
			lifetimeMs: request.service.keyLifetimeMs,
		};
		const decision = gate.decide(gateRequest, clock.nowMs());
		switch (decision.type) {
			case 'run': {
				return runLocally(exchange, decision.ticket);
			}

			case 'wait':
			case 'replay': {
				return answerResend(exchange, decision.id);
			}

			case 'forward': {
				return forward(exchange, {...gateRequest, mark: decision.mark}, decision.owner);
			}

			case 'refuse': {
				return sendRefusal(response, decision.refusal);
			}
		}
	};

	return async (request, response, signal) => {
		try {
			return await decideAndServe({request, response, signal});
		} catch (error) {
			if (error instanceof BodyError) {
				return sendRefusal(response, createRefusal(error.fault === 'too-large' ? 'request-too-large' : 'body-incomplete', 'unknown'));
			}

			throw error;
		}
	};
};
