/** The health of every service that this entry serves: attempts in, standings out, evidence to and from other entries. */

import type http from 'node:http';
import {
	createServiceHealth, messageVersion, placeService,
	type AgentToEntry, type EntryToAgent, type EvidenceReport, type Explanation, type HealthAttempt, type HealthEvent, type HealthRules,
	type Instance, type ServiceHealth, type ServiceRecord, type Standing,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';
import type {HealthMetrics} from './health-metrics.ts';
import {isDrainingAnswer, toObservation} from './health-observation.ts';
import {probeConnection} from './health-probe.ts';
import type {CallerRequest} from './request.ts';
import type {View} from './view.ts';

const tickIntervalMs = 100;
const probeIntervalMs = 5000;
/** A peer that sent a report within this time gets ours, even if the service is not placed on it. */
const peerMemoryMs = 10_000;

/** Follows one attempt to its end. */
export type AttemptWatch = {
	readonly finish: (outcome: AttemptOutcome) => void;
	/** The answer was broken off by the instance after its head. */
	readonly answerCut: () => void;
};

/** What health says about an instance of a service. */
export type EntryHealth = {
	readonly standing: (service: string, instanceId: string) => Standing;
	/** An instance that this idempotent request should try, if one is due a trial. */
	readonly nextTrial: (service: string) => string | undefined;
	readonly begin: (request: CallerRequest, instance: Instance) => AttemptWatch;
	readonly onMessage: (message: AgentToEntry) => void;
	/** For operators: instances of a service, or one of them. */
	readonly explain: (service: string, instanceId?: string) => readonly Explanation[];
	readonly close: () => void;
};

/** What the health of an entry needs. */
export type EntryHealthOptions = {
	readonly hostId: string;
	readonly incarnation: number;
	readonly nowMs: () => number;
	readonly view: View;
	readonly metrics: HealthMetrics;
	readonly logger: Logger;
	readonly send: (message: EntryToAgent) => void;
};

/** Health of one service and what goes with it. */
type Watched = {
	readonly health: ServiceHealth;
	readonly peersHeardAtMs: Map<string, number>;
	nextProbe: number;
	probedAtMs: number;
};

/** An attempt in flight, to see whether bytes move. */
type Moving = {
	readonly attempt: HealthAttempt;
	readonly incoming: http.IncomingMessage;
	bytesRead: number;
};

/** A body of this kind holds evidence. */
type EvidenceBody = {
	readonly kind: 'evidence';
	readonly report: EvidenceReport;
};

/** For a request whose service was removed after it was routed. */
const unwatched: AttemptWatch = {finish: () => undefined, answerCut: () => undefined};

const unknownStanding: Standing = {kind: 'use', weight: 1};

const rulesOf = ({floorShare, falseEjectionsPerInstanceDay, stallThresholdMs}: ServiceRecord): HealthRules =>
	({floorShare, falseEjectionsPerInstanceDay, stallThresholdMs});

const isEvidence = (body: unknown): body is EvidenceBody =>
	typeof body === 'object' && body !== null && (body as {readonly kind?: unknown}).kind === 'evidence';

/** True while the caller has more to send and the entry could take it: the wait is not the instance's. */
const waitsForCaller = (incoming: http.IncomingMessage): boolean =>
	!incoming.complete && incoming.readableLength < incoming.readableHighWaterMark;

/** Creates the health of the entry and starts its timer. */
export const createEntryHealth = (options: EntryHealthOptions): EntryHealth => {
	const {
		hostId, incarnation, nowMs, view, metrics, logger,
	} = options;
	const services = new Map<string, Watched>();
	const moving = new Set<Moving>();
	let sequence = 0;

	const watch = (service: string): Watched | undefined => {
		const record = view.service(service);
		const known = services.get(service);
		if (known ?? !record) {
			return known;
		}

		const health = createServiceHealth({
			service, entryId: hostId, incarnation, rules: rulesOf(record),
		}, nowMs());
		health.setInstances(view.instances(service), sequence, nowMs());
		const watched: Watched = {
			health, peersHeardAtMs: new Map(), nextProbe: 0, probedAtMs: nowMs(),
		};
		services.set(service, watched);
		return watched;
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

	const reportTargets = (service: string, {peersHeardAtMs}: Watched): readonly string[] => {
		const members = view.members().filter(({usable}) => usable);
		const placed = placeService(
			{service, instances: view.instances(service).length, slotsPerInstance: view.service(service)?.slotsPerInstance ?? 1},
			members.map(({host}) => ({
				hostId: host.hostId, dataCentre: host.dataCentre, weight: 1, usable: true,
			})),
		);
		const heard = [...peersHeardAtMs].filter(([, atMs]) => nowMs() - atMs <= peerMemoryMs).map(([peerId]) => peerId);
		const targets = new Set([...placed.map(entry => entry.hostId), ...heard]);
		targets.delete(hostId);
		return [...targets];
	};

	const sendReport = (service: string, watched: Watched): void => {
		const report = watched.health.report(nowMs());
		const to = reportTargets(service, watched);
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

	const probe = async (instance: Instance, {health}: Watched, timeoutMs: number): Promise<void> => {
		const startedAtMs = nowMs();
		const isOpen = await probeConnection(instance, timeoutMs);
		metrics.probes.inc({result: isOpen ? 'open' : 'failed'});
		health.observe(instance.hostId, isOpen ? {kind: 'probe-succeeded'} : {kind: 'connect-failed', startedAtMs}, nowMs());
		if (isOpen) {
			health.markReady(instance.hostId, nowMs());
		}
	};

	const probeNext = (service: string, watched: Watched): void => {
		const instances = view.instances(service);
		const instance = instances[watched.nextProbe % Math.max(1, instances.length)];
		watched.nextProbe++;
		watched.probedAtMs = nowMs();
		if (instance?.state === 'live') {
			void probe(instance, watched, view.service(service)?.connectTimeoutMs ?? probeIntervalMs);
		}
	};

	const noticeProgress = (): void => {
		for (const some of moving) {
			const {bytesRead} = some.incoming.socket;
			if (bytesRead !== some.bytesRead || waitsForCaller(some.incoming)) {
				some.bytesRead = bytesRead;
				some.attempt.progress(nowMs());
			}
		}
	};

	const countStandings = (service: string, {health}: Watched): void => {
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

	const tickService = (service: string, watched: Watched): void => {
		const {health} = watched;
		health.tick(nowMs());
		if (health.isReportDue(nowMs())) {
			sendReport(service, watched);
		}

		if (nowMs() - watched.probedAtMs >= probeIntervalMs) {
			probeNext(service, watched);
			countStandings(service, watched);
		}

		for (const event of health.takeEvents()) {
			logEvent(service, event);
		}
	};

	const timer = setInterval(() => {
		noticeProgress();
		for (const [service, watched] of services) {
			tickService(service, watched);
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

	const receive = (report: EvidenceReport): void => {
		const watched = watch(report.service);
		if (!watched) {
			return;
		}

		metrics.reportsReceived.inc();
		metrics.evidenceItems.inc({direction: 'received'}, report.instances.length);
		watched.peersHeardAtMs.set(report.entryId, nowMs());
		watched.health.receive(report, nowMs());
	};

	const begin = (request: CallerRequest, instance: Instance): AttemptWatch => {
		const startedAtMs = nowMs();
		const health = watch(request.service.name)?.health;
		if (!health) {
			return unwatched;
		}

		const {incoming} = request;
		const attempt = health.begin(instance.hostId, startedAtMs);
		const some: Moving = {attempt, incoming, bytesRead: incoming.socket.bytesRead};
		moving.add(some);
		return {
			finish(outcome) {
				moving.delete(some);
				const endedAtMs = nowMs();
				attempt.finish(toObservation(outcome, {startedAtMs, endedAtMs, stallThresholdMs: request.service.stallThresholdMs}), endedAtMs);
				const isDraining = (outcome.type === 'answered' || outcome.type === 'shed') && isDrainingAnswer(outcome.headers);
				if (isDraining) {
					health.markLeaving(instance.hostId, endedAtMs);
				}
			},
			answerCut() {
				health.observe(instance.hostId, {kind: 'failed', startedAtMs}, nowMs());
			},
		};
	};

	return {
		standing: (service, instanceId) => watch(service)?.health.standing(instanceId) ?? unknownStanding,
		nextTrial: service => watch(service)?.health.nextTrial(nowMs()),
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
					if (isEvidence(message.body) && message.body.report.entryId === message.from) {
						receive(message.body.report);
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
