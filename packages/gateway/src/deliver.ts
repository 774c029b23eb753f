/** Sends the final result of a request to its caller when the connection has answered all earlier requests. */

import type http from 'node:http';
import {
	createRefusal, minRetryAfterMs, type ErrorKind, type Refusal,
} from '@egretwing/core';
import {
	forwardedHeaders, refuse, resetSocket, type CallerExchange,
} from '@egretwing/node';
import {causeOf} from './answer-checks.ts';
import {minTakeMs, timerSlackMs} from './constants.ts';
import type {GatewayMetrics} from './metrics.ts';
import type {RequestLog} from './request-log.ts';
import type {UpstreamAnswer} from './upstream.ts';

/** Final result of a request, for its caller. */
export type FinalResult
	= | {readonly type: 'answer'; readonly answer: UpstreamAnswer; readonly instanceId: string}
		| {
			readonly type: 'refusal'; readonly refusal: Refusal; readonly reason: string; readonly retryAfterMs?: number;
			/** Further fields of the log line. */
			readonly logged?: Readonly<Record<string, unknown>>;
		}
		| {readonly type: 'caller-gone'}
	/** An earlier answer closed the connection before the request was sent to an instance. */
		| {readonly type: 'not-read'};

/** Request whose result is delivered. */
export type DeliveredRequest = {
	readonly requestId: string;
	/** Empty when the request was not routed. */
	readonly service: string;
	readonly arrivedAtMs: number;
	/** When the rest of a streaming answer is cut off. */
	readonly finalAtMs: number;
};

/** Sends the final result; resolves once it is handed over to the connection. */
export type Deliver = (response: http.ServerResponse, exchange: CallerExchange, request: DeliveredRequest, final: FinalResult) => Promise<void>;

/** Dependencies of the delivery. */
export type DeliverDependencies = {
	readonly nowMs: () => number;
	/** Version of the configuration in force, for the log. */
	readonly configVersion: () => number;
	readonly isStopping: () => boolean;
	readonly metrics: GatewayMetrics;
	readonly log: RequestLog;
};

/** Creates the result of a request that the gateway refuses. */
export const refuseWith = (kind: ErrorKind, reason: string, retryAfterMs?: number, ran?: Refusal['ran']): Extract<FinalResult, {type: 'refusal'}> => ({
	type: 'refusal', refusal: createRefusal(kind, ran), reason, ...(retryAfterMs !== undefined && {retryAfterMs}),
});

/** Resets the connection, since an orderly close would make an answer without a length look complete. */
const resetConnection = (response: http.ServerResponse): void => {
	if (response.socket !== null) {
		resetSocket(response.socket);
	}
};

/** Resets the connection of a caller that has not taken its answer within `withinMs`, so that what is held for it is given back. */
const limitTake = (response: http.ServerResponse, withinMs: number, onLate: () => void): void => {
	const timer = setTimeout(() => {
		onLate();
		resetConnection(response);
	}, withinMs);
	response.once('close', () => {
		clearTimeout(timer);
	});
};

const writeAnswer = (response: http.ServerResponse, {
	statusCode, headers, chunks, isBounded, rest,
}: UpstreamAnswer, leftMs: number, onLate: () => void): void => {
	const kept: http.OutgoingHttpHeaders = forwardedHeaders(headers);
	if (isBounded) {
		response.writeHead(statusCode, rest === undefined ? {'content-length': chunks.reduce((sumBytes, {length}) => sumBytes + length, 0), ...kept} : kept);
	} else {
		// The end of the answer can't be verified, so the caller must not get a length either.
		response.removeHeader('transfer-encoding');
		response.writeHead(statusCode, kept);
	}

	if (rest === undefined) {
		// What is corked goes out together with the head.
		response.cork();
		for (const chunk of chunks.slice(0, -1)) {
			response.write(chunk);
		}

		response.end(chunks.at(-1));
		// Most answers are with the operating system at once.
		if (response.writableLength > 0) {
			limitTake(response, Math.max(minTakeMs, leftMs), onLate);
		}

		return;
	}

	limitTake(response, Math.max(1, leftMs), onLate);
	response.once('close', () => {
		rest.destroy();
	});
	for (const chunk of chunks) {
		response.write(chunk);
	}

	rest.once('error', () => {
		resetConnection(response);
	});
	rest.pipe(response);
};

/** Creates the delivery of final results. */
export const createDeliver = ({
	nowMs, configVersion, isStopping, metrics, log,
}: DeliverDependencies): Deliver => {
	/** Replaces a streaming answer by a refusal if it broke or timed out before its first byte was sent. */
	const refuseIfCutOff = (final: FinalResult, finalAtMs: number): FinalResult => {
		const rest = final.type === 'answer' ? final.answer.rest : undefined;
		const isCutOff = rest !== undefined && (rest.destroyed || nowMs() + timerSlackMs >= finalAtMs);
		if (!isCutOff) {
			return final;
		}

		rest.destroy();
		return refuseWith('outcome-unknown', 'answer cut off');
	};

	/** Replaces an answer whose end only the close of the connection can mark, if later requests are in progress on the connection. */
	const refuseIfUndeliverable = (exchange: CallerExchange, final: FinalResult): FinalResult => {
		if (final.type !== 'answer' || final.answer.isBounded || exchange.decideClose(true)) {
			return final;
		}

		final.answer.rest?.destroy();
		return refuseWith('answer-unbounded', 'later requests in progress');
	};

	/** Waits until the answer may be sent; ends the attempt behind a streaming answer that nobody receives. */
	const waitForTurn = async (exchange: CallerExchange, final: FinalResult): Promise<FinalResult> => {
		if (final.type === 'not-read' || final.type === 'caller-gone' || await exchange.untilTurn()) {
			return final;
		}

		if (final.type === 'answer') {
			final.answer.rest?.destroy();
		}

		return {type: 'caller-gone'};
	};

	const closeIfDecided = (response: http.ServerResponse, exchange: CallerExchange): void => {
		if (exchange.decideClose(isStopping())) {
			response.setHeader('connection', 'close');
		}
	};

	return async (response, exchange, {requestId, service, arrivedAtMs, finalAtMs}, ready) => {
		const readyAtMs = nowMs();
		const final = refuseIfUndeliverable(exchange, refuseIfCutOff(await waitForTurn(exchange, ready), finalAtMs));
		const heldMs = nowMs() - readyAtMs;
		const tookMs = Math.round(nowMs() - arrivedAtMs);
		const pipelined = exchange.unansweredBefore === 0 ? {} : {unansweredBefore: exchange.unansweredBefore, heldMs: Math.round(heldMs)};
		switch (final.type) {
			case 'answer': {
				closeIfDecided(response, exchange);
				writeAnswer(response, final.answer, finalAtMs - nowMs(), () => {
					log('answer not taken', {
						requestId, service, instanceId: final.instanceId, tookMs: Math.round(nowMs() - arrivedAtMs),
					});
				});
				final.answer.rest?.once('error', error => {
					const arrivedBytes = final.answer.arrivedBytes();
					log('answer cut', {
						requestId, service, instanceId: final.instanceId, cause: causeOf(error, arrivedBytes), detail: error.message, arrivedBytes, tookMs: Math.round(nowMs() - arrivedAtMs),
					});
				});
				metrics.requests.inc({service, result: String(final.answer.statusCode)});
				metrics.requestDurationMs.observe({service}, tookMs);
				log('answered', {
					requestId, service, instanceId: final.instanceId, statusCode: final.answer.statusCode, tookMs, ...pipelined,
				});
				break;
			}

			case 'refusal': {
				const {refusal, reason, logged} = final;
				// The caller counts the delay from the refusal, which may have waited for earlier answers.
				const retryAfterMs = final.retryAfterMs === undefined ? undefined : Math.max(minRetryAfterMs, Math.round(final.retryAfterMs - heldMs));
				closeIfDecided(response, exchange);
				refuse(response, refusal, retryAfterMs);
				metrics.requests.inc({service, result: refusal.kind});
				metrics.refusals.inc({kind: refusal.kind, reason});
				log('refused', {
					requestId, service, kind: refusal.kind, ran: refusal.ran, reason, retryAfterMs, tookMs, configVersion: configVersion(), ...logged, ...pipelined,
				});
				break;
			}

			case 'caller-gone': {
				response.destroy();
				metrics.requests.inc({service, result: 'caller-gone'});
				log('caller gone', {
					requestId, service, tookMs, ...pipelined,
				});
				break;
			}

			case 'not-read': {
				metrics.requests.inc({service, result: 'not-read'});
				log('not read', {
					requestId, service, reason: 'behind an answer that closed the connection', tookMs, ...pipelined,
				});
				break;
			}
		}

		if (exchange.unansweredBefore > 0) {
			metrics.heldDurationMs.observe(heldMs);
		}
	};
};
