/** Metrics of admission and retries. */

import {Counter, Gauge, type Registry} from 'prom-client';

/** Metrics that admission and retries update. */
export type AdmissionMetrics = {
	/** Requests queued for an instance. */
	readonly queueLength: Gauge<'service'>;
	/** Limit on requests in flight. */
	readonly inFlightLimit: Gauge<'service'>;
	readonly inFlight: Gauge<'service'>;
	/** Failed attempts that were not retried, by reason. */
	readonly retriesRefused: Counter<'service' | 'reason'>;
};

/** Creates the metrics in `registry`. */
export const createAdmissionMetrics = (registry: Registry): AdmissionMetrics => {
	const registers = [registry];
	const labelNames = ['service'] as const;
	return {
		queueLength: new Gauge({
			name: 'egretwing_queue_length', help: 'Requests that wait for an instance', labelNames, registers,
		}),
		inFlightLimit: new Gauge({
			name: 'egretwing_in_flight_limit', help: 'Requests in flight allowed at a service', labelNames, registers,
		}),
		inFlight: new Gauge({
			name: 'egretwing_in_flight', help: 'Requests in flight at a service', labelNames, registers,
		}),
		retriesRefused: new Counter({
			name: 'egretwing_retries_refused_total', help: 'Failed attempts without a further attempt, by reason', labelNames: ['service', 'reason'], registers,
		}),
	};
};
