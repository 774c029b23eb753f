/** Metrics of instance health and ejection. */

import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

/** Metrics that the health monitor updates. */
export type HealthMetrics = {
	/** Changes of standing, by service and by standing before and after. */
	readonly changes: Counter<'service' | 'from' | 'to'>;
	/** Number of instances by service and standing. */
	readonly instances: Gauge<'service' | 'standing'>;
	/** Time from the first failure of an instance until this entry sends it no new requests, in milliseconds. */
	readonly detectionMs: Histogram<'service'>;
	/** Evidence reports and probes. */
	readonly reportsSent: Counter;
	readonly reportsReceived: Counter;
	readonly evidenceItems: Counter<'direction'>;
	readonly probes: Counter<'result'>;
};

const detectionBucketsMs = [50, 100, 200, 500, 1000, 1500, 2000, 3000, 5000, 10_000, 30_000];

/** Creates the metrics in `registry`. */
export const createHealthMetrics = (registry: Registry): HealthMetrics => {
	const registers = [registry];
	return {
		changes: new Counter({
			name: 'egretwing_instance_standing_changes_total', help: 'Changes of standing of instances', labelNames: ['service', 'from', 'to'], registers,
		}),
		instances: new Gauge({
			name: 'egretwing_instances', help: 'Instances by standing', labelNames: ['service', 'standing'], registers,
		}),
		detectionMs: new Histogram({
			name: 'egretwing_detection_ms', help: 'Time from the first failure to the end of new work', labelNames: ['service'], buckets: detectionBucketsMs, registers,
		}),
		reportsSent: new Counter({name: 'egretwing_evidence_reports_sent_total', help: 'Evidence reports sent to the agent', registers}),
		reportsReceived: new Counter({name: 'egretwing_evidence_reports_received_total', help: 'Evidence reports of other entries', registers}),
		evidenceItems: new Counter({
			name: 'egretwing_evidence_items_total', help: 'Instances named in evidence reports', labelNames: ['direction'], registers,
		}),
		probes: new Counter({
			name: 'egretwing_probes_total', help: 'Connection probes of instances by result', labelNames: ['result'], registers,
		}),
	};
};
