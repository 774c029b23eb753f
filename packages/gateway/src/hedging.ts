/** Runs the hedge policies of all services: what they are told, the log lines and the metrics. */

import {
	createHedgePolicy, type HedgeLimits, type HedgePolicy, type HedgeRoom, type LatencyQuantile,
} from '@egretwing/core';
import type {GatewayMetrics} from './metrics.ts';
import type {RequestLog} from './request-log.ts';

/** The hedges of one gateway. */
export type Hedging = {
	/** Counts a caller's request to a service. */
	readonly recordRequest: (service: string) => void;
	/** Records how long an attempt took until its complete answer, or until it was cancelled for another one. */
	readonly recordLatency: (service: string, latencyMs: number) => void;
	/** Latency from which an answer is among the slowest; undefined where hedging is off or too few are known. */
	readonly threshold: (service: string) => LatencyQuantile | undefined;
	/** Whether a hedge of this request may start now; counts and logs one that may not. */
	readonly tryStart: (request: HedgedRequest, room: HedgeRoom) => boolean;
	/** Logs and counts a hedge that was sent; `instanceId` is undefined where no other instance had a free slot, which uses up the limit as well. */
	readonly recordSent: (request: HedgedRequest, instanceId: string | undefined) => void;
	/** Logs and counts whether the hedge of a request, if one was sent, was answered first; `answeringId` is undefined where neither attempt was answered. */
	readonly recordEnd: (request: HedgedRequest, answeringId: string | undefined) => void;
};

/** A request that is hedged. */
export type HedgedRequest = {
	readonly requestId: string;
	readonly service: string;
	/** What decided when to hedge. */
	readonly threshold: LatencyQuantile;
};

/** Dependencies of the hedges. */
export type HedgingOptions = {
	/** Absent where requests are hedged for silent instances only. */
	readonly limits: HedgeLimits | undefined;
	readonly nowMs: () => number;
	readonly metrics: GatewayMetrics;
	readonly log: RequestLog;
};

/** Creates the hedges of a gateway. */
export const createHedging = ({
	limits, nowMs, metrics, log,
}: HedgingOptions): Hedging => {
	const policies = new Map<string, HedgePolicy>();
	/** Instances that hedges were sent to, until their requests end. */
	const sentTo = new WeakMap<HedgedRequest, string>();

	const policyOf = (service: string): HedgePolicy | undefined => {
		if (limits === undefined) {
			return undefined;
		}

		const policy = policies.get(service) ?? createHedgePolicy(limits);
		policies.set(service, policy);
		return policy;
	};

	const describe = ({requestId, service, threshold: {latencyMs, samples, ageMs}}: HedgedRequest): Readonly<Record<string, unknown>> => ({
		requestId, service, thresholdMs: latencyMs, samples, evidenceAgeMs: Math.round(ageMs),
	});

	return {
		recordRequest(service) {
			policyOf(service)?.recordRequest(nowMs());
		},
		recordLatency(service, latencyMs) {
			policyOf(service)?.recordLatency(latencyMs, nowMs());
		},
		threshold: service => policyOf(service)?.threshold(nowMs()),
		tryStart(request, room) {
			const verdict = policyOf(request.service)?.tryStart(room, nowMs()) ?? 'limit-spent';
			if (verdict === 'start') {
				return true;
			}

			metrics.hedges.inc({service: request.service, event: verdict});
			log('hedge suppressed', {...describe(request), reason: verdict, ...room});
			return false;
		},
		recordSent(request, instanceId) {
			if (instanceId === undefined) {
				metrics.hedges.inc({service: request.service, event: 'no-instance'});
				log('hedge suppressed', {...describe(request), reason: 'no-instance'});
				return;
			}

			sentTo.set(request, instanceId);
			metrics.hedges.inc({service: request.service, event: 'sent'});
			log('hedge sent', {...describe(request), instanceId});
		},
		recordEnd(request, answeringId) {
			const hedgeId = sentTo.get(request);
			if (hedgeId === undefined) {
				return;
			}

			const event = answeringId === undefined ? 'failed' : (hedgeId === answeringId ? 'won' : 'cancelled');
			metrics.hedges.inc({service: request.service, event});
			log('hedge ended', {...describe(request), event});
		},
	};
};
