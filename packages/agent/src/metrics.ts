/** Metrics of the agent. */

import {
	collectDefaultMetrics, Counter, Gauge, Registry,
} from 'prom-client';
import type {FleetSync} from './fleet-sync.ts';
import type {Peers} from './peers.ts';

/** Metrics that the agent updates; all others are read on each scrape. */
export type AgentMetrics = {
	readonly registry: Registry;
	readonly refusedRecords: Counter;
	readonly refusedMessages: Counter<'reason'>;
	readonly configReads: Counter;
};

type Reading = {readonly name: string; readonly help: string; readonly read: () => number};

/** Creates the metrics of an agent in a new registry. */
export const createAgentMetrics = (fleetSync: () => FleetSync, peers: () => Peers): AgentMetrics => {
	const registry = new Registry();
	const registers = [registry];
	collectDefaultMetrics({register: registry});
	const readings: readonly Reading[] = [
		{name: 'egretwing_records', help: 'Records in force, removed ones included', read: () => fleetSync().store.size()},
		{name: 'egretwing_record_conflicts', help: 'Records of equal revision and different content since the start', read: () => fleetSync().store.counters().conflicts},
		{name: 'egretwing_stale_records', help: 'Records older than the one in force since the start', read: () => fleetSync().store.counters().stale},
		{name: 'egretwing_usable_members', help: 'Entry hosts that callers are sent to', read: () => fleetSync().members().filter(member => member.usable).length},
		{name: 'egretwing_probes_failed', help: 'Probes of other agents without an answer since the start', read: () => fleetSync().counters().probesFailed},
		{name: 'egretwing_suspicions_raised', help: 'Suspicions raised by this agent since the start', read: () => fleetSync().counters().suspicionsRaised},
		{name: 'egretwing_refutations', help: 'Suspicions of this agent that it refuted since the start', read: () => fleetSync().counters().refutations},
		{name: 'egretwing_sleeps', help: 'Pauses of this process that it noticed since the start', read: () => fleetSync().counters().pausesDetected},
		{name: 'egretwing_peer_sent_bytes', help: 'Bytes sent to other agents since the start', read: () => peers().traffic().sentBytes},
		{name: 'egretwing_peer_received_bytes', help: 'Bytes received from other agents since the start', read: () => peers().traffic().receivedBytes},
		{name: 'egretwing_peer_sent_messages', help: 'Messages sent to other agents since the start', read: () => peers().traffic().sentMessages},
	];
	for (const {name, help, read} of readings) {
		const gauge: Gauge = new Gauge({
			name, help, registers, collect() {
				gauge.set(read());
			},
		});
	}

	return {
		registry,
		refusedRecords: new Counter({name: 'egretwing_refused_records_total', help: 'Records that did not check out', registers}),
		refusedMessages: new Counter({
			name: 'egretwing_refused_peer_messages_total', help: 'Messages of other agents that were refused', labelNames: ['reason'], registers,
		}),
		configReads: new Counter({name: 'egretwing_config_pages_total', help: 'Pages read from the configuration service', registers}),
	};
};
