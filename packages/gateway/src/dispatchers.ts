/** Runs the dispatch decisions of all services: settles waiting requests, tells peers and hears them. */

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
	type DispatcherState,
	type LiveInstance,
	type Random,
	type ReportScheduler,
} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import {
	idleReportIntervalMs, reportIntervalMs, reportingMs, reportRowsBytes, stateLogIntervalMs,
} from './constants.ts';

/** What becomes of a request that asks for an instance. */
export type Placed = Exclude<DispatchDecision, {type: 'wait'}> | {readonly type: 'cancelled'};

type Waiting = DispatchRequest & {readonly settle: (placed: Placed) => void};

/** The dispatchers of one gateway. */
export type Dispatchers = {
	/** Resolves once the request may be sent, or is rejected, or `signal` aborts. */
	readonly place: (service: string, request: DispatchRequest, signal: AbortSignal) => Promise<Placed>;
	/** A slot that is free now; undefined when the request would wait or be rejected. */
	readonly placeNow: (service: string, request: DispatchRequest) => DispatchPlacement | undefined;
	readonly finish: (service: string, placement: DispatchPlacement, result: AttemptResult) => void;
	readonly noteServed: (service: string, isServed: boolean) => void;
	readonly serviceMs: (service: string) => number;
	readonly hear: (service: string, peerId: string, report: DispatchReport) => void;
	/** The inputs of the last decision, for logs. */
	readonly explain: (service: string, instanceId?: string) => Readonly<Record<string, unknown>>;
	readonly tick: () => void;
	/** Rejects what waits, and all that comes from now on; returns how many waited. */
	readonly stop: () => number;
	/** Figures of all services, for metrics and status. */
	readonly snapshots: () => ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** What the dispatchers need. */
export type DispatchersOptions = {
	readonly dataCentre: string;
	readonly catalogue: Catalogue;
	readonly random: Random;
	readonly nowMs: () => number;
	readonly logger: Logger;
	/** True while callers are sent to other gateways. */
	readonly isUnplaced: () => boolean;
	/** Tells the gateways that share a service. */
	readonly tell: (service: string, report: DispatchReport) => void;
	/** Takes what is believed of a service, once in `stateLogIntervalMs` while it takes requests. */
	readonly onState: (service: string, state: DispatcherState) => void;
};

type Service = {
	readonly name: string;
	readonly dispatcher: Dispatcher<Waiting>;
	catalogueVersion: number;
	lastRequestMs: number;
	lastReportMs: number;
	readonly news: ReportScheduler;
	lastStateLogMs: number;
	/** True when the next report is not to wait for its interval, since an instance is avoided from now on. */
	isReportDue: boolean;
};

const toFacts = (instance: LiveInstance) => ({
	instanceId: instance.instanceId,
	dataCentre: instance.dataCentre,
	slots: instance.slots,
	bornAtMs: instance.bornAtMs,
	knownSinceMs: instance.knownSinceMs,
	warmAtMs: instance.knownSinceMs + instance.warmupLeftMs,
});

/** Creates the dispatchers of a gateway. */
export const createDispatchers = ({
	dataCentre, catalogue, random, nowMs, logger, isUnplaced, tell, onState,
}: DispatchersOptions): Dispatchers => {
	const services = new Map<string, Service>();

	const refresh = (service: Service): void => {
		if (service.catalogueVersion !== catalogue.version()) {
			service.catalogueVersion = catalogue.version();
			service.dispatcher.setInstances(catalogue.ready(service.name).map(instance => toFacts(instance)));
		}
	};

	const serviceOf = (name: string): Service => {
		let service = services.get(name);
		if (service === undefined) {
			service = {
				name,
				dispatcher: createDispatcher<Waiting>(dataCentre, random, isUnplaced),
				catalogueVersion: -1,
				lastRequestMs: Number.NEGATIVE_INFINITY,
				lastReportMs: Number.NEGATIVE_INFINITY,
				news: createReportScheduler(),
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
			service: service.name, instancesAsOf: catalogue.digest().instancesAsOf, untold: service.news.pendingRows(), ...state,
		});
		onState(service.name, state);
	};

	const report = (service: Service): void => {
		const timeMs = nowMs();
		const sinceMs = timeMs - service.lastReportMs;
		const isActive = timeMs - service.lastRequestMs < reportingMs;
		if (!isActive || (sinceMs < reportIntervalMs && !service.isReportDue)) {
			return;
		}

		service.isReportDue = false;
		const instances = service.news.takeRows(service.dispatcher.report(timeMs), reportRowsBytes, idleReportIntervalMs, timeMs);
		if (instances.length === 0) {
			return;
		}

		service.lastReportMs = timeMs;
		tell(service.name, {instances});
	};

	return {
		async place(name, request, signal) {
			const service = serviceOf(name);
			service.lastRequestMs = nowMs();
			if (signal.aborted) {
				return {type: 'cancelled'};
			}

			return new Promise(resolve => {
				const onGone = (): void => {
					service.dispatcher.cancel(waiting);
					resolve({type: 'cancelled'});
				};

				const waiting: Waiting = {
					...request,
					settle(placed) {
						signal.removeEventListener('abort', onGone);
						resolve(placed);
					},
				};
				const decision = service.dispatcher.submit(waiting, nowMs());
				if (decision.type === 'wait') {
					signal.addEventListener('abort', onGone, {once: true});
					return;
				}

				resolve(decision);
			});
		},
		placeNow(name, request) {
			const {dispatcher} = serviceOf(name);
			const waiting: Waiting = {...request, settle: () => undefined};
			const decision = dispatcher.submit(waiting, nowMs());
			dispatcher.cancel(waiting);
			return decision.type === 'send' ? decision.placement : undefined;
		},
		finish(name, placement, result) {
			const service = serviceOf(name);
			if (service.dispatcher.finish(placement, result, nowMs())) {
				logAvoided(service, placement.instanceId, result);
				report(service);
			}

			settleWaiting(service);
		},
		noteServed(name, isServed) {
			serviceOf(name).dispatcher.recordOutcome(isServed, nowMs());
		},
		serviceMs: name => serviceOf(name).dispatcher.serviceMs(),
		hear(name, peerId, peerReport) {
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
				refresh(service);
				for (const instanceId of service.dispatcher.findStalled(nowMs())) {
					logAvoided(service, instanceId, 'stalled');
				}

				settleWaiting(service);
				report(service);
				logState(service);
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
