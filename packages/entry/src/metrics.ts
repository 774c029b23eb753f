/** Metrics of `egretwing-entry`. */

import {
	Counter, Gauge, Histogram, Registry, collectDefaultMetrics,
} from 'prom-client';

/** Metrics that the pipeline stages update. */
export type EntryMetrics = {
	readonly registry: Registry;
	/** Requests by service and result. */
	readonly requests: Counter<'service' | 'result'>;
	/** Refusals by kind of error. */
	readonly refusals: Counter<'kind'>;
	/** Retries by reason. */
	readonly retries: Counter<'reason'>;
	readonly requestDurationMs: Histogram<'service'>;
	/** Number of stored idempotency keys. */
	readonly keys: Gauge;
	/** Bytes of the stored idempotency keys and their responses. */
	readonly keyBytes: Gauge;
	readonly configRevision: Gauge;
};

const durationBucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000];

/** Creates the metrics in a new registry. */
export const createEntryMetrics = (): EntryMetrics => {
	const registry = new Registry();
	const registers = [registry];
	collectDefaultMetrics({register: registry});
	return {
		registry,
		requests: new Counter({
			name: 'egretwing_requests_total', help: 'Requests by service and result', labelNames: ['service', 'result'], registers,
		}),
		refusals: new Counter({
			name: 'egretwing_refusals_total', help: 'Refusals by kind of error', labelNames: ['kind'], registers,
		}),
		retries: new Counter({
			name: 'egretwing_retries_total', help: 'Retries by reason', labelNames: ['reason'], registers,
		}),
		requestDurationMs: new Histogram({
			name: 'egretwing_request_duration_ms', help: 'Time from request to answer', labelNames: ['service'], buckets: durationBucketsMs, registers,
		}),
		keys: new Gauge({name: 'egretwing_idempotency_keys', help: 'Idempotency keys remembered', registers}),
		keyBytes: new Gauge({name: 'egretwing_idempotency_key_bytes', help: 'Bytes counted for idempotency keys and their answers', registers}),
		configRevision: new Gauge({name: 'egretwing_config_revision', help: 'Highest revision in force', registers}),
	};
};
