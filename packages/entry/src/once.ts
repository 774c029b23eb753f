/** Serves at-most-once requests that carry an idempotency key: decides, runs, waits, replays or passes on. */

import type http from 'node:http';
import {
	createRefusal, parseKey, type Clock, type KeyOwner, type AtMostOnceGate, type AtMostOnceRequest, type AtMostOnceTicket, type Refusal, type StoredAnswer,
} from '@egretwing/core';
import {refuse} from '@egretwing/node';
import {
	passAndKeepAnswer, passAnswer, replayAnswer, type Answered,
} from './answer.ts';
import type {AttemptOptions} from './attempt.ts';
import {BodyError, digestBody, emptyDigest} from './body.ts';
import type {Forwarder} from './forward.ts';
import type {CallerRequest} from './request.ts';

/** How the attempts for a request ended. */
export type Served
	= | {readonly type: 'refused'; readonly refusal: Refusal}
		| {
			readonly type: 'answered';
			readonly answer: Answered;
			readonly instanceId: string;
			/** Gives the instance's place back. */
			readonly release: () => void;
		};

/** The part of an attempt's options that this stage sets. */
export type RunOptions = Pick<AttemptOptions, 'signal' | 'mayWrite' | 'outlivesCaller' | 'onBodyDigest'> & {
	/** Called when the backend server said that it did not run the request, so that it may be written again. */
	readonly onShed?: () => void;
};

/** What the stage needs. */
export type OnceParts = {
	readonly clock: Clock;
	readonly gate: AtMostOnceGate;
	readonly forwarder: Forwarder;
	readonly maxAnswerBytes: number;
	readonly bodyIdleTimeoutMs: number;
	/** Makes the attempts for a request that may run. */
	readonly run: (request: CallerRequest, options: RunOptions) => Promise<Served>;
};

/** Serves one request with a key; resolves with the result for the metrics. */
export type OnceStage = (request: CallerRequest, response: http.ServerResponse, signal: AbortSignal) => Promise<string>;

/** A request being served, and the connection to answer on. */
type Exchange = {
	readonly request: CallerRequest;
	readonly response: http.ServerResponse;
	readonly signal: AbortSignal;
};

type Flight = {
	/** Resolves with the refusal to repeat, or with nothing when the gate remembers the outcome. */
	readonly settled: Promise<Refusal | undefined>;
	readonly settle: (refusal?: Refusal) => void;
};

const createFlight = (): Flight => {
	let settle: Flight['settle'] = () => undefined;
	const settled = new Promise<Refusal | undefined>(resolve => {
		settle = resolve;
	});
	return {
		settled, settle(refusal) {
			settle(refusal);
		},
	};
};

/** Resolves with `undefined` after `durationMs`; the timer ends with `work`. */
const within = async <T>(work: Promise<T>, durationMs: number, late: T): Promise<T> => {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<T>(resolve => {
		timer = setTimeout(resolve, Math.max(0, durationMs), late);
	});
	try {
		return await Promise.race([work, timeout]);
	} finally {
		clearTimeout(timer);
	}
};

/** Creates the stage. */
export const createOnceStage = (parts: OnceParts): OnceStage => {
	const {clock, gate, forwarder} = parts;
	const flights = new Map<string, Flight>();

	const answerRefusal = (response: http.ServerResponse, refusal: Refusal): string => {
		refuse(response, refusal);
		return refusal.kind;
	};

	const passAndSettle = async (served: Extract<Served, {type: 'answered'}>, {request, response}: Exchange, ticket: AtMostOnceTicket): Promise<string> => {
		const {result, stored, finish} = await passAndKeepAnswer(response, served.answer, {
			maxAnswerBytes: parts.maxAnswerBytes, instanceId: served.instanceId, idleTimeoutMs: parts.bodyIdleTimeoutMs + request.service.requestTimeoutMs,
		});
		served.release();
		gate.settle(ticket, result === 'whole' ? {type: 'ran', ...(stored && {answer: stored})} : {type: 'unknown'});
		finish();
		return result;
	};

	const settleRefused = (ticket: AtMostOnceTicket, {ran}: Refusal): void => {
		gate.settle(ticket, {type: ran});
	};

	const runHere = async ({request, response, signal}: Exchange, ticket: AtMostOnceTicket): Promise<string> => {
		const flight = createFlight();
		flights.set(ticket.id, flight);
		if (!request.hasBody) {
			gate.recordBodyDigest(ticket.id, emptyDigest);
		}

		let refusal: Refusal | undefined = createRefusal('internal-error');
		try {
			const served = await parts.run(request, {
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
				return await passAndSettle(served, {request, response, signal}, ticket);
			}

			refusal = served.refusal;
			settleRefused(ticket, refusal);
			return answerRefusal(response, refusal);
		} catch (error) {
			gate.settle(ticket, {type: 'unknown'});
			throw error;
		} finally {
			flights.delete(ticket.id);
			flight.settle(refusal);
		}
	};

	/** Answers with `answer` when the body of the resend is the one that ran. */
	const replay = (response: http.ServerResponse, id: string, answer: StoredAnswer, digest: string): string => {
		if (!gate.matchesBodyDigest(id, digest)) {
			return answerRefusal(response, createRefusal('key-mismatch'));
		}

		replayAnswer(response, answer);
		return 'replayed';
	};

	const readDigest = async (request: CallerRequest): Promise<string> => request.hasBody
		? digestBody(request.incoming, {
			maxBytes: request.route.maxBodyBytes, idleTimeoutMs: parts.bodyIdleTimeoutMs, stallTimeoutMs: parts.bodyIdleTimeoutMs,
		})
		: emptyDigest;

	const answerAgain = async ({request, response}: Exchange, id: string): Promise<string> => {
		const digest = await readDigest(request);
		const flight = flights.get(id);
		if (flight) {
			const refusal = await within(flight.settled, request.deadlineAtMs - clock.nowMs(), createRefusal('request-timeout'));
			if (refusal) {
				return answerRefusal(response, refusal);
			}
		}

		const decision = gate.decideAfterWait(id);
		switch (decision.type) {
			case 'replay': {
				return replay(response, id, decision.answer, digest);
			}

			case 'refuse': {
				return answerRefusal(response, decision.refusal);
			}

			case 'wait':
			case 'run':
			case 'forward': {
				return answerRefusal(response, createRefusal('outcome-unknown'));
			}
		}
	};

	const forward = async ({request, response, signal}: Exchange, asked: AtMostOnceRequest, owner: KeyOwner): Promise<string> => {
		const outcome = await forwarder.send({...request, mark: asked.mark}, owner, {signal, mayWrite: () => clock.nowMs() < request.deadlineAtMs});
		switch (outcome.type) {
			case 'answered': {
				return passAnswer(response, outcome, undefined, parts.bodyIdleTimeoutMs + request.service.requestTimeoutMs);
			}

			case 'not-written': {
				return answerRefusal(response, gate.createOwnerUnreachableRefusal(asked, false, clock.nowMs()));
			}

			case 'unknown': {
				return answerRefusal(response, outcome.reason === 'timeout' ? createRefusal('request-timeout') : gate.createOwnerUnreachableRefusal(asked, true, clock.nowMs()));
			}

			case 'caller-failed':
			case 'shed': {
				return answerRefusal(response, gate.createOwnerUnreachableRefusal(asked, true, clock.nowMs()));
			}
		}
	};

	const decideAndServe = async (exchange: Exchange): Promise<string> => {
		const {request, response} = exchange;
		const key = parseKey(request.idempotencyKey ?? '');
		const origin = forwarder.originOf(request);
		if (key.isErr() || origin === 'forged') {
			return answerRefusal(response, createRefusal(key.isErr() ? key.error : 'forward-refused'));
		}

		const asked: AtMostOnceRequest = {
			key: key.value,
			workspace: request.workspace,
			fingerprint: `${request.method} ${request.target}`,
			mark: request.mark,
			forwarded: origin === 'entry',
			deadlineMs: request.deadlineAtMs,
			lifetimeMs: request.service.keyLifetimeMs,
		};
		const decision = gate.decide(asked, clock.nowMs());
		switch (decision.type) {
			case 'run': {
				return runHere(exchange, decision.ticket);
			}

			case 'wait':
			case 'replay': {
				return answerAgain(exchange, decision.id);
			}

			case 'forward': {
				return forward(exchange, {...asked, mark: decision.mark}, decision.owner);
			}

			case 'refuse': {
				return answerRefusal(response, decision.refusal);
			}
		}
	};

	return async (request, response, signal) => {
		try {
			return await decideAndServe({request, response, signal});
		} catch (error) {
			if (error instanceof BodyError) {
				return answerRefusal(response, createRefusal(error.fault === 'too-large' ? 'request-too-large' : 'body-incomplete', 'unknown'));
			}

			throw error;
		}
	};
};
