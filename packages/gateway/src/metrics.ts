/** Metrics of the gateway. */

import {createProcessMetrics, type ProcessMetrics} from '@egretwing/node';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Metrics and the registry that exposes them. */
export type GatewayMetrics = {
	readonly registry: Registry;
	readonly process: ProcessMetrics;
	/** Ends of other gateways' processes, by what this gateway saw of them. */
	readonly peerEnds: Counter<'how'>;
	/** Requests by service and final result: a status code, a kind of error, `caller-gone` or `not-read`. */
	readonly requests: Counter<'service' | 'result'>;
	readonly refusals: Counter<'kind' | 'reason'>;
	/** Errors while reading from a caller's connection, by error code and kind of the refusal; kind `none` where nothing was answered. */
	readonly unreadable: Counter<'code' | 'kind' | 'serving'>;
	/** Retries and hedges, by the result of the earlier attempt; reason `silent` for a hedge. */
	readonly retries: Counter<'reason'>;
	/** Retries and hedges that were not made, by reason. */
	readonly retriesRefused: Counter<'reason'>;
	/** Hedges against slow answers: `sent`, `won`, `cancelled`, `failed`, or why one was not sent (`limit-spent`, `no-room`, `no-instance`). */
	readonly hedges: Counter<'service' | 'event'>;
	/** Attempts by service and result. */
	readonly attempts: Counter<'service' | 'result'>;
	readonly connections: Counter;
	readonly peerBytes: Counter<'kind'>;
	readonly storeCalls: Counter<'topic' | 'result'>;
	/** How often the store has come back from an older copy, as it counts it; 0 before this gateway has noticed a change. */
	readonly storeEra: Gauge;
	readonly storeEraChanges: Counter<'topic'>;
	/** How often this gateway read the store because it heard from none of its readers. */
	readonly readerSilences: Counter;
	readonly requestDurationMs: Histogram<'service'>;
	readonly waitDurationMs: Histogram<'service'>;
	/** Time for which the answer to a request waited for the answers to earlier ones of its connection. */
	readonly heldDurationMs: Histogram;
	/** Instances by service and their state as this gateway sees it. */
	readonly instances: Gauge<'service' | 'state'>;
	/** Contention between workspaces by service, see `Contention`. */
	readonly contention: Gauge<'service' | 'state'>;
	readonly configVersion: Gauge;
	readonly members: Gauge;
	/** Requests of workspaces with a quota: admitted, refused, or given back because they reached no instance. */
	readonly quotaRequests: Counter<'result'>;
	/** Estimated use of the workspace that is closest to its quota, as a share of it; 0 while none is close. */
	readonly largestQuotaUse: Gauge;
	/** Bytes held for callers: bodies and answers. */
	readonly heldBytes: Gauge;
	/** Bytes of the objects of requests that are not answered. */
	readonly objectBytes: Gauge;
	/** Callers' connections that were closed to keep a limit of the process, by listener and reason. */
	readonly closedCallers: Counter<'listener' | 'reason'>;
};

const durationBucketsMs = [1, 5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000];

/** Creates the metrics in a new registry. */
export const createGatewayMetrics = (): GatewayMetrics => {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		process: createProcessMetrics(registry),
		peerEnds: new Counter({
			name: 'egretwing_peer_ends_total', help: 'Ends of processes of other gateways: announced, restarted without a word, or lost', labelNames: ['how'], registers,
		}),
		requests: new Counter({
			name: 'egretwing_requests_total', help: 'Requests by service and result', labelNames: ['service', 'result'], registers,
		}),
		refusals: new Counter({
			name: 'egretwing_refusals_total', help: 'Refusals by kind of error and reason', labelNames: ['kind', 'reason'], registers,
		}),
		unreadable: new Counter({
			name: 'egretwing_unreadable_total', help: 'Callers that could not be read on, by code, refusal, whether a request was served', labelNames: ['code', 'kind', 'serving'], registers,
		}),
		retries: new Counter({
			name: 'egretwing_retries_total', help: 'Repeated sends by reason', labelNames: ['reason'], registers,
		}),
		retriesRefused: new Counter({
			name: 'egretwing_retries_refused_total', help: 'Repeated sends not made, by reason', labelNames: ['reason'], registers,
		}),
		hedges: new Counter({
			name: 'egretwing_hedges_total', help: 'Hedges against slow answers by service: sent, won, cancelled, or why one was not sent', labelNames: ['service', 'event'], registers,
		}),
		attempts: new Counter({
			name: 'egretwing_attempts_total', help: 'Attempts by service and end', labelNames: ['service', 'result'], registers,
		}),
		connections: new Counter({name: 'egretwing_instance_connections_total', help: 'Connections opened to instances', registers}),
		peerBytes: new Counter({
			name: 'egretwing_peer_sent_bytes_total', help: 'Bytes sent to other gateways by kind of message', labelNames: ['kind'], registers,
		}),
		storeCalls: new Counter({
			name: 'egretwing_store_calls_total', help: 'Calls to the platform store by topic and result', labelNames: ['topic', 'result'], registers,
		}),
		storeEra: new Gauge({name: 'egretwing_store_era', help: 'Era of the platform store since its last change that was noticed here', registers}),
		storeEraChanges: new Counter({
			name: 'egretwing_store_era_changes_total', help: 'Times that the platform store came back from an older copy, by topic', labelNames: ['topic'], registers,
		}),
		readerSilences: new Counter({name: 'egretwing_reader_silences_total', help: 'Times that none of the store readers was heard from', registers}),
		requestDurationMs: new Histogram({
			name: 'egretwing_request_duration_ms', help: 'Time from request to final answer', labelNames: ['service'], buckets: durationBucketsMs, registers,
		}),
		waitDurationMs: new Histogram({
			name: 'egretwing_wait_duration_ms', help: 'Time for which a request waited for an instance', labelNames: ['service'], buckets: durationBucketsMs, registers,
		}),
		heldDurationMs: new Histogram({
			name: 'egretwing_held_duration_ms', help: 'Time for which the answer to a pipelined request waited for earlier answers', buckets: durationBucketsMs, registers,
		}),
		instances: new Gauge({
			name: 'egretwing_instances', help: 'Instances by service and state at this gateway', labelNames: ['service', 'state'], registers,
		}),
		contention: new Gauge({
			name: 'egretwing_contention', help: 'Waiting requests, workspaces with some, requests displaced and held back in the last second', labelNames: ['service', 'state'], registers,
		}),
		configVersion: new Gauge({name: 'egretwing_config_version', help: 'Version of the configuration in force', registers}),
		heldBytes: new Gauge({name: 'egretwing_held_bytes', help: 'Bytes of bodies and answers held for callers', registers}),
		quotaRequests: new Counter({
			name: 'egretwing_quota_requests_total', help: 'Requests of workspaces with a quota, by result', labelNames: ['result'], registers,
		}),
		largestQuotaUse: new Gauge({name: 'egretwing_quota_largest_use', help: 'Estimated use of the workspace closest to its quota, as a share of it', registers}),
		objectBytes: new Gauge({name: 'egretwing_request_object_bytes', help: 'Estimated bytes on the heap of requests that are not answered', registers}),
		closedCallers: new Counter({
			name: 'egretwing_closed_callers_total', help: 'Connections of callers closed to keep a limit of the process, by listener and reason', labelNames: ['listener', 'reason'], registers,
		}),
		members: new Gauge({name: 'egretwing_members', help: 'Gateways believed to be up', registers}),
	};
};
