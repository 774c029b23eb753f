/** Metrics of admission and retries. */

import {Counter, Gauge, type Registry} from 'prom-client';

/** What admission and retries write to. */
export type AdmissionMetrics = {
	/** Requests that wait for an instance. */
	readonly queueLength: Gauge<'service'>;
	/** Requests in flight allowed. */
	readonly inFlightLimit: Gauge<'service'>;
	readonly inFlight: Gauge<'service'>;
	/** Failed attempts that no other attempt followed, by reason. */
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
