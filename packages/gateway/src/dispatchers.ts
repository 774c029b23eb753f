/** Runs the dispatchers of all services: settles queued requests and exchanges load reports with peers. */

import {
	createDispatcher,
	createReportScheduler,
	type AttemptResult,
	type Catalogue,
	type DispatchDecision,
	type DispatchPlacement,
	type DispatchReport,
	type DispatchRequest,
	type Dispatcher,
	type HedgeRoom,
	type DispatcherState,
	type InstanceRun,
	type LiveInstance,
	type Random,
	type ReportScheduler,
} from '@egretwing/core';
import type {ErrorBarrier, Logger} from '@egretwing/node';
import {
	reportRefreshIntervalMs, reportIntervalMs, reportingWindowMs, maxReportRowsBytes, stateLogIntervalMs,
} from './constants.ts';

/** Decision on a request that asks for an instance. */
export type PlacementResult = Exclude<DispatchDecision, {type: 'wait'}> | {readonly type: 'cancelled'};

type WaitingRequest = DispatchRequest & {readonly settle: (placed: PlacementResult) => void};

/** The dispatchers of one gateway. */
export type Dispatchers = {
	/** Queues the request; resolves once it may be sent, is rejected, or `signal` aborts. */
	readonly place: (service: string, request: DispatchRequest, signal: AbortSignal) => Promise<PlacementResult>;
	/** Takes a slot that is free now; undefined when the request would wait or be rejected. */
	readonly placeNow: (service: string, request: DispatchRequest) => DispatchPlacement | undefined;
	readonly finish: (service: string, placement: DispatchPlacement, result: AttemptResult) => void;
	readonly recordOutcome: (service: string, isServed: boolean) => void;
	/** Keeps requests from a run of an instance that wants none for `pauseMs`. */
	readonly pause: (service: string, run: InstanceRun, pauseMs: number) => void;
	/** Time until an instance of the service is out of its pause; 0 when one is. */
	readonly pausedMs: (service: string) => number;
	/** Mean service time of the requests of a kind, or of all. */
	readonly serviceMs: (service: string, kind?: string) => number;
	/** Slots of a service, and what uses or awaits them. */
	readonly room: (service: string) => HedgeRoom;
	readonly receiveReport: (service: string, peerId: string, report: DispatchReport) => void;
	/** State of the dispatcher, and of one instance, for logs. */
	readonly explain: (service: string, instanceId?: string) => Readonly<Record<string, unknown>>;
	readonly tick: () => void;
	/** Rejects queued requests and all later ones; returns the number of queued ones. */
	readonly stop: () => number;
	/** Snapshots of all services, for the status interface. */
	readonly snapshots: () => ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** Dependencies of the dispatchers. */
export type DispatchersOptions = {
	readonly dataCentre: string;
	readonly catalogue: Catalogue;
	readonly random: Random;
	readonly nowMs: () => number;
	readonly logger: Logger;
	readonly errors: ErrorBarrier;
	/** Whether callers are directed to other gateways only. */
	readonly isUnplaced: () => boolean;
	/** Sends a report to the gateways that share the service. */
	readonly sendReport: (service: string, report: DispatchReport) => void;
	/** Called with the state of a service, once in `stateLogIntervalMs` while it takes requests. */
	readonly onState: (service: string, state: DispatcherState) => void;
};

type Service = {
	readonly name: string;
	readonly dispatcher: Dispatcher<WaitingRequest>;
	catalogueVersion: number;
	lastRequestMs: number;
	lastReportMs: number;
	readonly reportScheduler: ReportScheduler;
	lastStateLogMs: number;
	/** Whether the next report skips its interval, because an instance has just become avoided. */
	isReportDue: boolean;
};

const toDispatchInstance = (instance: LiveInstance) => ({
	instanceId: instance.instanceId,
	dataCentre: instance.dataCentre,
	slots: instance.slots,
	bornAtMs: instance.bornAtMs,
	knownSinceMs: instance.knownSinceMs,
	warmAtMs: instance.knownSinceMs + instance.warmupLeftMs,
});

/** Creates the dispatchers of a gateway. */
export const createDispatchers = ({
	dataCentre, catalogue, random, nowMs, logger, errors, isUnplaced, sendReport, onState,
}: DispatchersOptions): Dispatchers => {
	const services = new Map<string, Service>();

	const refresh = (service: Service): void => {
		if (service.catalogueVersion !== catalogue.version()) {
			service.catalogueVersion = catalogue.version();
			service.dispatcher.setInstances(catalogue.ready(service.name).map(instance => toDispatchInstance(instance)));
		}
	};

	const serviceOf = (name: string): Service => {
		let service = services.get(name);
		if (service === undefined) {
			service = {
				name,
				dispatcher: createDispatcher<WaitingRequest>(dataCentre, random, isUnplaced),
				catalogueVersion: -1,
				lastRequestMs: Number.NEGATIVE_INFINITY,
				lastReportMs: Number.NEGATIVE_INFINITY,
				reportScheduler: createReportScheduler(),
				lastStateLogMs: Number.NEGATIVE_INFINITY,
				isReportDue: false,
			};
			services.set(name, service);
		}

		refresh(service);
		return service;
	};

	const settleWaiting = ({dispatcher}: Service): void => {
		for (const {request, decision} of dispatcher.poll(nowMs())) {
			request.settle(decision);
		}
	};

	const logAvoided = (service: Service, instanceId: string, cause: string): void => {
		logger.info('instance avoided', {
			service: service.name, instanceId, cause, ...service.dispatcher.explain(instanceId, nowMs()),
		});
		service.isReportDue = true;
	};

	const logState = (service: Service): void => {
		const timeMs = nowMs();
		const isActive = timeMs - service.lastRequestMs < stateLogIntervalMs;
		if (!isActive || timeMs - service.lastStateLogMs < stateLogIntervalMs) {
			return;
		}

		service.lastStateLogMs = timeMs;
		const state = service.dispatcher.state(timeMs);
		logger.info('service state', {
			service: service.name, instancesAsOf: catalogue.digest().instancesAsOf, untold: service.reportScheduler.pendingRows(), ...state,
		});
		onState(service.name, state);
	};

	const report = (service: Service): void => {
		const timeMs = nowMs();
		const sinceMs = timeMs - service.lastReportMs;
		const isActive = timeMs - service.lastRequestMs < reportingWindowMs;
		if (!isActive || (sinceMs < reportIntervalMs && !service.isReportDue)) {
			return;
		}

		service.isReportDue = false;
		const instances = service.reportScheduler.takeRows(service.dispatcher.report(timeMs), maxReportRowsBytes, reportRefreshIntervalMs, timeMs);
		if (instances.length === 0) {
			return;
		}

		service.lastReportMs = timeMs;
		sendReport(service.name, {instances});
	};

	const tickService = (service: Service): void => {
		refresh(service);
		for (const instanceId of service.dispatcher.findStalled(nowMs())) {
			logAvoided(service, instanceId, 'stalled');
		}

		settleWaiting(service);
		report(service);
		logState(service);
	};

	return {
		async place(name, request, signal) {
			const service = serviceOf(name);
			service.lastRequestMs = nowMs();
			if (signal.aborted) {
				return {type: 'cancelled'};
			}

			return new Promise(resolve => {
				const onAbort = (): void => {
					service.dispatcher.cancel(waiting);
					resolve({type: 'cancelled'});
				};

				const waiting: WaitingRequest = {
					...request,
					settle(placed) {
						signal.removeEventListener('abort', onAbort);
						resolve(placed);
					},
				};
				const decision = service.dispatcher.submit(waiting, nowMs());
				if (decision.type === 'wait') {
					signal.addEventListener('abort', onAbort, {once: true});
					return;
				}

				resolve(decision);
			});
		},
		placeNow(name, request) {
			return serviceOf(name).dispatcher.placeNow({...request, settle: () => undefined}, nowMs());
		},
		finish(name, placement, result) {
			const service = serviceOf(name);
			if (service.dispatcher.finish(placement, result, nowMs())) {
				logAvoided(service, placement.instanceId, result);
				report(service);
			}

			settleWaiting(service);
		},
		recordOutcome(name, isServed) {
			serviceOf(name).dispatcher.recordOutcome(isServed, nowMs());
		},
		pause(name, run, pauseMs) {
			const service = serviceOf(name);
			service.dispatcher.pause(run, pauseMs, nowMs());
			logger.info('instance paused', {
				service: name, instanceId: run.instanceId, bornAtMs: run.bornAtMs, pauseMs,
			});
			settleWaiting(service);
		},
		pausedMs: name => serviceOf(name).dispatcher.pausedMs(nowMs()),
		serviceMs: (name, kind) => serviceOf(name).dispatcher.serviceMs(kind),
		room: name => serviceOf(name).dispatcher.snapshot(nowMs()),
		receiveReport(name, peerId, peerReport) {
			// A report on instances that are not known here says nothing, and must not create a service for each name that it could hold.
			if (!services.has(name) && !catalogue.entries().some(({record}) => record?.service === name)) {
				return;
			}

			const service = serviceOf(name);
			service.dispatcher.receiveReport(peerId, peerReport, nowMs());
			settleWaiting(service);
		},
		explain(name, instanceId) {
			const {dispatcher} = serviceOf(name);
			return {...dispatcher.snapshot(nowMs()), ...(instanceId !== undefined && {instance: dispatcher.explain(instanceId, nowMs())})};
		},
		tick() {
			for (const service of services.values()) {
				errors.run('dispatch', () => {
					tickService(service);
				});
			}
		},
		stop() {
			const decisions = [...services.values()].flatMap(({dispatcher}) => dispatcher.stop(nowMs()));
			for (const {request, decision} of decisions) {
				request.settle(decision);
			}

			return decisions.length;
		},
		snapshots: () => Array.from(services.values(), ({name, dispatcher}) => ({service: name, ...dispatcher.snapshot(nowMs())})),
	};
};
