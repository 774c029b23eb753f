/** Processes a request in stages: routing, idempotency key, instance selection, attempts, response. */

import type http from 'node:http';
import {
	createRefusal, errorAnswers, resolveAtMostOnceConfig, type Clock, type ErrorKind, type AtMostOnceGate, type Refusal,
} from '@egretwing/core';
import {refuse} from '@egretwing/node';
import {forwardResponse} from './response.ts';
import type {Admission} from './admission.ts';
import type {AdmissionMetrics} from './admission-metrics.ts';
import type {Attempts} from './attempt.ts';
import {idempotencyKeyHeader} from './constants.ts';
import type {CrashTracker} from './crash-tracker.ts';
import type {HealthMonitor} from './health.ts';
import type {Forwarder} from './forward.ts';
import type {EntryMetrics} from './metrics.ts';
import {createAtMostOnceStage, type RunOptions, type ServeResult} from './at-most-once.ts';
import {readMark, readRequest, type CallerRequest} from './request.ts';
import type {FailedOutcome, Retries} from './retry.ts';
import type {FleetView} from './fleet-view.ts';

/** Dependencies of the pipeline stages. */
export type PipelineOptions = {
	readonly clock: Clock;
	readonly view: FleetView;
	readonly admission: Admission;
	readonly admissionMetrics: AdmissionMetrics;
	readonly retries: Retries;
	readonly crash: CrashTracker;
	readonly health: HealthMonitor;
	readonly attempts: Attempts;
	readonly gate: AtMostOnceGate;
	readonly forwarder: Forwarder;
	readonly metrics: EntryMetrics;
	readonly bodyIdleTimeoutMs: number;
};

/** Serves one request; resolves after its response has ended. */
export type Pipeline = (incoming: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

const refusalOf = (outcome: FailedOutcome): Refusal => {
	switch (outcome.type) {
		case 'not-written': {
			return createRefusal(outcome.reason === 'connect-failed' ? 'connect-failed' : 'deadline-expired');
		}

		case 'shed': {
			return createRefusal('shed-by-backend');
		}

		case 'unknown': {
			if (outcome.reason === 'answer-unbounded') {
				return createRefusal('answer-unbounded');
			}

			return createRefusal(outcome.reason === 'timeout' ? 'request-timeout' : 'outcome-unknown');
		}

		case 'caller-failed': {
			return createRefusal(outcome.reason === 'too-large' ? 'request-too-large' : 'body-incomplete', 'unknown');
		}
	}
};

export const createPipeline = (pipelineOptions: PipelineOptions): Pipeline => {
	const {
		clock, view, admission, retries, crash, health, attempts, gate, metrics, bodyIdleTimeoutMs,
	} = pipelineOptions;

	const attemptUntilServed = async (request: CallerRequest, options: RunOptions): Promise<ServeResult> => {
		const tried = new Set<string>();
		let refusal = createRefusal('no-capacity');
		// After an attempt that may have run the request, a refusal must not report "not run".
		const updateRefusal = (next: Refusal): void => {
			refusal = refusal.ran === 'not-run' || next.ran !== 'not-run' ? next : refusal;
		};

		const fingerprint = crash.fingerprintOf(request);
		retries.begin(request);
		for (let attempt = 1; ; attempt++) {
			if (clock.nowMs() >= request.deadlineAtMs) {
				updateRefusal(createRefusal('deadline-expired'));
				break;
			}

			const admitted = await admission.acquire(request, fingerprint, tried, options.signal);
			if (admitted.type === 'refused') {
				// If no instance is left to try, the last failure is more informative.
				if (attempt === 1 || admitted.kind !== 'no-capacity') {
					updateRefusal(createRefusal(admitted.kind));
				}

				break;
			}

			const {instance, release} = admitted;
			tried.add(instance.hostId);
			const tracker = health.begin(request, instance);
			const outcome = await attempts.send(request, instance, {...options, notRunStatusCodes: request.service.notRunStatusCodes});
			tracker.finish(outcome);
			crash.finish(outcome, {
				request, fingerprint, instance, signal: options.signal,
			});
			if (outcome.type === 'answered') {
				outcome.body.once('error', () => {
					if (!options.signal.aborted) {
						tracker.responseTruncated();
					}
				});
				return {
					type: 'answered', outcome, instanceId: instance.hostId,
					release() {
						release(outcome);
					},
				};
			}

			release(outcome);
			if (outcome.type === 'shed') {
				options.onShed?.();
			}

			updateRefusal(refusalOf(outcome));
			const decision = retries.decide(request, outcome, attempt, clock.nowMs());
			if (decision.type === 'give-up') {
				pipelineOptions.admissionMetrics.retriesRefused.inc({service: request.service.name, reason: decision.reason});
				break;
			}

			metrics.retries.inc({reason: refusal.kind});
		}

		return {type: 'refused', refusal};
	};

	const serveWithKey = createAtMostOnceStage({
		clock, gate, forwarder: pipelineOptions.forwarder, bodyIdleTimeoutMs, maxAnswerBytes: resolveAtMostOnceConfig().maxAnswerBytes, run: attemptUntilServed,
	});

	const serveDirectly = async (request: CallerRequest, response: http.ServerResponse, signal: AbortSignal): Promise<string> => {
		const served = await attemptUntilServed(request, {signal, mayWrite: () => clock.nowMs() < request.deadlineAtMs});
		switch (served.type) {
			case 'refused': {
				refuse(response, served.refusal);
				return served.refusal.kind;
			}

			case 'answered': {
				const result = await forwardResponse(response, served.outcome, served.instanceId, bodyIdleTimeoutMs + request.service.requestTimeoutMs);
				served.release();
				return result;
			}
		}
	};

	const countResult = (service: string, result: string): void => {
		metrics.requests.inc({service, result});
		if (result in errorAnswers) {
			metrics.refusals.inc({kind: result});
		}
	};

	/** Refuses a request that was not routed. One with a key may have run before, through this entry or another. */
	const refuseUnrouted = (incoming: http.IncomingMessage, response: http.ServerResponse, kind: ErrorKind): void => {
		const refusal = createRefusal(kind);
		const hasKey = incoming.headers[idempotencyKeyHeader] !== undefined;
		const ran = hasKey ? gate.runOutcomeBeforeLookup({mark: readMark(incoming)}, refusal.ran, clock.nowMs()) : refusal.ran;
		metrics.refusals.inc({kind});
		refuse(response, {...refusal, ran});
	};

	return async (incoming, response) => {
		const request = readRequest(incoming, view, clock.nowMs());
		if (request.isErr()) {
			refuseUnrouted(incoming, response, request.error);
			return;
		}

		const {service, route, receivedAtMs, idempotencyKey} = request.value;
		const callerGone = new AbortController();
		response.once('close', () => {
			if (!response.writableFinished) {
				callerGone.abort();
			}
		});
		const isKeyed = route.semantics === 'at-most-once' && idempotencyKey !== undefined;
		const result = await (isKeyed ? serveWithKey : serveDirectly)(request.value, response, callerGone.signal);
		countResult(service.name, result);
		metrics.requestDurationMs.observe({service: service.name}, clock.nowMs() - receivedAtMs);
	};
};
