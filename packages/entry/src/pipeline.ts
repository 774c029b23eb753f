/** Takes a request through its stages: route, selection, attempts, answer. */

import type http from 'node:http';
import type {Clock, ErrorKind} from '@egretwing/core';
import {passAnswer, refuse} from './answer.ts';
import type {AttemptOutcome, Attempts} from './attempt.ts';
import type {EntryMetrics} from './metrics.ts';
import {readRequest, type CallerRequest} from './request.ts';
import type {Reservation, Selection} from './selection.ts';
import type {View} from './view.ts';

/** What the stages need. */
export type PipelineParts = {
	readonly clock: Clock;
	readonly view: View;
	readonly selection: Selection;
	readonly attempts: Attempts;
	readonly metrics: EntryMetrics;
};

/** Serves one request to its end. */
export type Pipeline = (incoming: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

type Served
	= | {readonly type: 'refused'; readonly kind: ErrorKind}
		| {readonly type: 'answered'; readonly outcome: Extract<AttemptOutcome, {type: 'answered'}>; readonly reservation: Reservation};

type FailedOutcome = Exclude<AttemptOutcome, {type: 'answered'}>;

const mayRetry = (request: CallerRequest, outcome: FailedOutcome): boolean => {
	if (request.hasBody) {
		return false;
	}

	switch (outcome.type) {
		case 'not-written': {
			return true;
		}

		case 'unknown': {
			return request.route.semantics === 'idempotent';
		}
	}
};

const errorOf = (outcome: FailedOutcome): ErrorKind => {
	switch (outcome.type) {
		case 'not-written': {
			return 'connect-failed';
		}

		case 'unknown': {
			return outcome.reason === 'timeout' ? 'request-timeout' : 'outcome-unknown';
		}
	}
};

/** Creates the pipeline from its parts. */
export const createPipeline = (parts: PipelineParts): Pipeline => {
	const {clock, view, selection, attempts, metrics} = parts;

	const attemptUntilServed = async (request: CallerRequest, signal: AbortSignal): Promise<Served> => {
		const tried = new Set<string>();
		let lastError: ErrorKind = 'no-capacity';
		while (tried.size < request.service.maxAttempts) {
			const nowMs = clock.nowMs();
			if (nowMs >= request.deadlineAtMs) {
				return {type: 'refused', kind: tried.size === 0 ? 'deadline-expired' : lastError};
			}

			const reservation = selection.reserve(request, tried);
			if (!reservation) {
				break;
			}

			tried.add(reservation.instance.hostId);
			const outcome = await attempts.send(request, reservation.instance, nowMs, signal);
			if (outcome.type === 'answered') {
				return {type: 'answered', outcome, reservation};
			}

			reservation.release();
			lastError = errorOf(outcome);
			if (!mayRetry(request, outcome)) {
				break;
			}

			metrics.retries.inc({reason: lastError});
		}

		return {type: 'refused', kind: lastError};
	};

	const answerRefusal = (response: http.ServerResponse, kind: ErrorKind): void => {
		metrics.refusals.inc({kind});
		refuse(response, kind);
	};

	return async (incoming, response) => {
		const request = readRequest(incoming, view, clock.nowMs());
		if (request.isErr()) {
			answerRefusal(response, request.error);
			return;
		}

		const {service, receivedAtMs} = request.value;
		const abort = new AbortController();
		response.once('close', () => {
			abort.abort();
		});
		const served = await attemptUntilServed(request.value, abort.signal);
		switch (served.type) {
			case 'refused': {
				metrics.requests.inc({service: service.name, result: served.kind});
				answerRefusal(response, served.kind);
				break;
			}

			case 'answered': {
				const result = await passAnswer(response, served.outcome, served.reservation.instance.hostId);
				served.reservation.release();
				metrics.requests.inc({service: service.name, result});
				metrics.requestDurationMs.observe({service: service.name}, clock.nowMs() - receivedAtMs);
				break;
			}
		}
	};
};
