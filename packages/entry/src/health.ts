/**
 * Monitors the health of the instances of every service that this entry serves: derives their standings from the
 * outcomes of attempts, connection probes and the evidence reports of other entries, and sends reports to them.
 */

import type http from 'node:http';
import {
	createServiceHealth, messageVersion, placeService,
	type AgentToEntry, type EntryToAgent, type EvidenceReport, type Explanation, type HealthAttempt, type HealthEvent, type HealthRules,
	type Instance, type ServiceHealth, type ServiceRecord, type Standing,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';
import type {HealthMetrics} from './health-metrics.ts';
import {isDrainingResponse, toObservation} from './health-observation.ts';
import {probeConnection} from './health-probe.ts';
import type {CallerRequest} from './request.ts';
import type {FleetView} from './fleet-view.ts';

const tickIntervalMs = 100;
const probeIntervalMs = 5000;
/** A peer that sent a report within this time also receives reports, even if the service is not placed on it. */
const peerReportRetentionMs = 10_000;

/** Tracks one attempt. */
export type AttemptTracker = {
	readonly finish: (outcome: AttemptOutcome) => void;
	/** Records that the instance closed the connection after the head of the response, before its end. */
	readonly responseTruncated: () => void;
};

/** Health monitoring of an entry. */
export type HealthMonitor = {
	readonly standing: (service: string, instanceId: string) => Standing;
	/** An instance that is due a trial with an idempotent request, if there is one. */
	readonly nextTrial: (service: string) => string | undefined;
	readonly begin: (request: CallerRequest, instance: Instance) => AttemptTracker;
	readonly onMessage: (message: AgentToEntry) => void;
	/** Explains to operators the standing of all instances of a service, or of one. */
	readonly explain: (service: string, instanceId?: string) => readonly Explanation[];
	readonly close: () => void;
};

/** Dependencies of the health monitor. */
export type HealthMonitorOptions = {
	readonly hostId: string;
	readonly incarnation: number;
	readonly nowMs: () => number;
	readonly view: FleetView;
	readonly metrics: HealthMetrics;
	readonly logger: Logger;
	readonly send: (message: EntryToAgent) => void;
};

/** Health of one service, and the state of its reports and probes. */
type ServiceState = {
	readonly health: ServiceHealth;
	readonly peerReportedAtMs: Map<string, number>;
	nextProbe: number;
	probedAtMs: number;
};

/** An attempt in flight, with the number of bytes read from its caller so far; a higher number shows progress. */
type InFlightAttempt = {
	readonly attempt: HealthAttempt;
	readonly incoming: http.IncomingMessage;
	bytesRead: number;
};

/** Body of a message that carries an evidence report. */
type EvidenceBody = {
	readonly kind: 'evidence';
	readonly report: EvidenceReport;
};

/** Tracker for a request whose service was removed after routing. */
const noopTracker: AttemptTracker = {finish: () => undefined, responseTruncated: () => undefined};

const unknownStanding: Standing = {kind: 'use', weight: 1};

const rulesOf = ({floorShare, falseEjectionsPerInstanceDay, stallThresholdMs}: ServiceRecord): HealthRules =>
	({floorShare, falseEjectionsPerInstanceDay, stallThresholdMs});

const isEvidenceBody = (body: unknown): body is EvidenceBody =>
	typeof body === 'object' && body !== null && (body as {readonly kind?: unknown}).kind === 'evidence';

/** True while the caller has more to send and the entry has buffer space for it: the instance does not cause the wait. */
const waitsForCaller = (incoming: http.IncomingMessage): boolean =>
	!incoming.complete && incoming.readableLength < incoming.readableHighWaterMark;

/** Creates the health monitor of an entry and starts its timer. */
export const createHealthMonitor = (options: HealthMonitorOptions): HealthMonitor => {
	const {
		hostId, incarnation, nowMs, view, metrics, logger,
	} = options;
	const services = new Map<string, ServiceState>();
	const inFlight = new Set<InFlightAttempt>();
	let sequence = 0;

	const getOrCreateState = (service: string): ServiceState | undefined => {
		const record = view.service(service);
		const known = services.get(service);
		if (known ?? !record) {
			return known;
		}

		const health = createServiceHealth({
			service, entryId: hostId, incarnation, rules: rulesOf(record),
		}, nowMs());
		health.setInstances(view.instances(service), sequence, nowMs());
		const state: ServiceState = {
			health, peerReportedAtMs: new Map(), nextProbe: 0, probedAtMs: nowMs(),
		};
		services.set(service, state);
		return state;
	};

	const logEvent = (service: string, event: HealthEvent): void => {
		const {instanceId, from, to, sinceFirstFailureMs} = event;
		metrics.changes.inc({service, from, to});
		if (from === 'use' && to !== 'leaving' && sinceFirstFailureMs !== undefined) {
			metrics.detectionMs.observe({service}, sinceFirstFailureMs);
		}

		logger.info('instance standing changed', {
			service, instance: instanceId, from, to, sinceFirstFailureMs, reason: services.get(service)?.health.explain(instanceId, nowMs())?.reason,
		});
	};

	const reportTargets = (service: string, {peerReportedAtMs}: ServiceState): readonly string[] => {
		const members = view.members().filter(({usable}) => usable);
		const placed = placeService(
			{service, instances: view.instances(service).length, slotsPerInstance: view.service(service)?.slotsPerInstance ?? 1},
			members.map(({host}) => ({
				hostId: host.hostId, dataCentre: host.dataCentre, weight: 1, usable: true,
			})),
		);
		const recentReporters = [...peerReportedAtMs].filter(([, atMs]) => nowMs() - atMs <= peerReportRetentionMs).map(([peerId]) => peerId);
		const targets = new Set([...placed.map(entry => entry.hostId), ...recentReporters]);
		targets.delete(hostId);
		return [...targets];
	};

	const sendReport = (service: string, state: ServiceState): void => {
		const report = state.health.report(nowMs());
		const to = reportTargets(service, state);
		if (to.length === 0) {
			return;
		}

		const body: EvidenceBody = {kind: 'evidence', report};
		options.send({
			type: 'publish', version: messageVersion, to, body,
		});
		metrics.reportsSent.inc(to.length);
		metrics.evidenceItems.inc({direction: 'sent'}, report.instances.length * to.length);
	};

	const probe = async (instance: Instance, {health}: ServiceState, timeoutMs: number): Promise<void> => {
		const startedAtMs = nowMs();
		const isOpen = await probeConnection(instance, timeoutMs);
		metrics.probes.inc({result: isOpen ? 'open' : 'failed'});
		health.observe(instance.hostId, isOpen ? {kind: 'probe-succeeded'} : {kind: 'connect-failed', startedAtMs}, nowMs());
		if (isOpen) {
			health.markReady(instance.hostId, nowMs());
		}
	};

	const probeNext = (service: string, state: ServiceState): void => {
		const instances = view.instances(service);
		const instance = instances[state.nextProbe % Math.max(1, instances.length)];
		state.nextProbe++;
		state.probedAtMs = nowMs();
		if (instance?.state === 'live') {
			void probe(instance, state, view.service(service)?.connectTimeoutMs ?? probeIntervalMs);
		}
	};

	const recordProgress = (): void => {
		for (const tracked of inFlight) {
			const {bytesRead} = tracked.incoming.socket;
			if (bytesRead !== tracked.bytesRead || waitsForCaller(tracked.incoming)) {
				tracked.bytesRead = bytesRead;
				tracked.attempt.progress(nowMs());
			}
		}
	};

	const countStandings = (service: string, {health}: ServiceState): void => {
		const counts: Record<Standing['kind'], number> = {
			use: 0, spared: 0, avoided: 0, ejected: 0, leaving: 0,
		};
		for (const {hostId: instanceId} of view.instances(service)) {
			counts[(health.standing(instanceId) ?? unknownStanding).kind]++;
		}

		for (const [standing, count] of Object.entries(counts)) {
			metrics.instances.set({service, standing}, count);
		}
	};

	const tickService = (service: string, state: ServiceState): void => {
		const {health} = state;
		health.tick(nowMs());
		if (health.isReportDue(nowMs())) {
			sendReport(service, state);
		}

		if (nowMs() - state.probedAtMs >= probeIntervalMs) {
			probeNext(service, state);
			countStandings(service, state);
		}

		for (const event of health.takeEvents()) {
			logEvent(service, event);
		}
	};

	const timer = setInterval(() => {
		recordProgress();
		for (const [service, state] of services) {
			tickService(service, state);
		}
	}, tickIntervalMs);

	const applyView = (): void => {
		for (const [service, {health}] of services) {
			const record = view.service(service);
			if (!record) {
				services.delete(service);
				continue;
			}

			health.setRules(rulesOf(record));
			health.setInstances(view.instances(service), sequence, nowMs());
		}
	};

	const receiveReport = (report: EvidenceReport): void => {
		const state = getOrCreateState(report.service);
		if (!state) {
			return;
		}

		metrics.reportsReceived.inc();
		metrics.evidenceItems.inc({direction: 'received'}, report.instances.length);
		state.peerReportedAtMs.set(report.entryId, nowMs());
		state.health.receive(report, nowMs());
	};

	const begin = (request: CallerRequest, instance: Instance): AttemptTracker => {
		const startedAtMs = nowMs();
		const health = getOrCreateState(request.service.name)?.health;
		if (!health) {
			return noopTracker;
		}

		const {incoming} = request;
		const attempt = health.begin(instance.hostId, startedAtMs);
		const tracked: InFlightAttempt = {attempt, incoming, bytesRead: incoming.socket.bytesRead};
		inFlight.add(tracked);
		return {
			finish(outcome) {
				inFlight.delete(tracked);
				const endedAtMs = nowMs();
				attempt.finish(toObservation(outcome, {startedAtMs, endedAtMs, stallThresholdMs: request.service.stallThresholdMs}), endedAtMs);
				const isDraining = (outcome.type === 'answered' || outcome.type === 'shed') && isDrainingResponse(outcome.headers);
				if (isDraining) {
					health.markLeaving(instance.hostId, endedAtMs);
				}
			},
			responseTruncated() {
				health.observe(instance.hostId, {kind: 'failed', startedAtMs}, nowMs());
			},
		};
	};

	return {
		standing: (service, instanceId) => getOrCreateState(service)?.health.standing(instanceId) ?? unknownStanding,
		nextTrial: service => getOrCreateState(service)?.health.nextTrial(nowMs()),
		begin,
		onMessage(message) {
			switch (message.type) {
				case 'instances': {
					sequence = message.sequence;
					applyView();
					break;
				}

				case 'config': {
					applyView();
					break;
				}

				case 'delivered': {
					if (isEvidenceBody(message.body) && message.body.report.entryId === message.from) {
						receiveReport(message.body.report);
					}

					break;
				}

				case 'members': {
					break;
				}
			}
		},
		explain(service, instanceId) {
			const health = services.get(service)?.health;
			const ids = instanceId === undefined ? view.instances(service).map(instance => instance.hostId) : [instanceId];
			return health ? ids.flatMap(id => health.explain(id, nowMs()) ?? []) : [];
		},
		close() {
			clearInterval(timer);
		},
	};
};
