/** Admission control: assigns each request an instance immediately or after a short wait in the queue, or refuses it. */

import {
	createServiceAdmission,
	type AttemptEnd, type Candidate, type Instance, type LoadRefusalKind, type LoadRequest, type Permit, type Random, type ServiceAdmission, type Standing,
} from '@egretwing/core';
import type {AdmissionMetrics} from './admission-metrics.ts';
import type {AttemptOutcome} from './attempt.ts';
import type {CrashTracker} from './crash-tracker.ts';
import type {HealthMonitor} from './health.ts';
import type {CallerRequest} from './request.ts';
import type {FleetView} from './fleet-view.ts';

const tickIntervalMs = 20;

/** Result of requesting an instance. */
export type Admitted
	= | {
		readonly type: 'run';
		readonly instance: Instance;
		/** Releases the slot after the attempt has ended. */
		readonly release: (outcome?: AttemptOutcome) => void;
	}
	| {readonly type: 'refused'; readonly kind: LoadRefusalKind};

/** Admission control of an entry. */
export type Admission = {
	readonly acquire: (request: CallerRequest, fingerprint: string, tried: ReadonlySet<string>, signal: AbortSignal) => Promise<Admitted>;
	readonly close: () => void;
};

/** Dependencies of the admission control. */
export type AdmissionOptions = {
	readonly nowMs: () => number;
	readonly view: Pick<FleetView, 'instances' | 'members' | 'service'>;
	readonly health: Pick<HealthMonitor, 'standing' | 'nextTrial'>;
	readonly crash: Pick<CrashTracker, 'placementOf'>;
	readonly random: Random;
	readonly metrics: AdmissionMetrics;
};

type QueuedRequest = LoadRequest & {
	readonly settle: (admitted: {readonly permit: Permit} | {readonly kind: LoadRefusalKind}) => void;
};

type ServiceState = {
	readonly admission: ServiceAdmission<QueuedRequest>;
	configuredAtMs: number;
};

const toAttemptEnd = (outcome: AttemptOutcome | undefined): AttemptEnd => {
	if (outcome === undefined) {
		return 'abandoned';
	}

	switch (outcome.type) {
		case 'answered': {
			return 'answered';
		}

		case 'shed': {
			return 'shed';
		}

		case 'not-written': {
			return outcome.reason === 'connect-failed' ? 'connect-failed' : 'abandoned';
		}

		case 'unknown': {
			if (outcome.reason === 'connection-lost') {
				return 'died';
			}

			return outcome.reason === 'timeout' ? 'timed-out' : 'abandoned';
		}

		case 'caller-failed': {
			return 'abandoned';
		}
	}
};

const weightOf = (standing: Standing, usesSpared: boolean): number => {
	switch (standing.kind) {
		case 'use': {
			return standing.weight;
		}

		case 'spared': {
			return usesSpared ? 1 : 0;
		}

		case 'avoided':
		case 'ejected':
		case 'leaving': {
			return 0;
		}
	}
};

/** Creates the admission control of an entry and starts its timer. */
export const createAdmission = (options: AdmissionOptions): Admission => {
	const {nowMs, view, health, crash, random, metrics} = options;
	const services = new Map<string, ServiceState>();

	const candidatesOf = (name: string, inFlight: number, slotsPerInstance: number): readonly Candidate[] => {
		const standings = view.instances(name)
			.filter(instance => instance.state === 'live')
			.map(({hostId}) => ({hostId, standing: health.standing(name, hostId)}));
		const used = standings.filter(({standing}) => standing.kind === 'use').length;
		const usesSpared = inFlight >= used * slotsPerInstance;
		return standings.map(({hostId, standing}) => ({instanceId: hostId, weight: weightOf(standing, usesSpared)}));
	};

	const configure = (name: string, service: ServiceState): void => {
		const record = view.service(name);
		if (record === undefined) {
			return;
		}

		const {inFlight} = service.admission.snapshot(nowMs());
		const entryCount = view.members().filter(member => member.usable).length;
		service.configuredAtMs = nowMs();
		service.admission.configure(record, candidatesOf(name, inFlight, record.slotsPerInstance), entryCount);
	};

	const serviceOf = (name: string): ServiceState => {
		let service = services.get(name);
		if (service === undefined) {
			service = {admission: createServiceAdmission<QueuedRequest>({random, placementOf: crash.placementOf}), configuredAtMs: 0};
			services.set(name, service);
		}

		return service;
	};

	const dispatchQueued = (admission: ServiceAdmission<QueuedRequest>): void => {
		for (const dispatch of admission.dispatch(nowMs())) {
			dispatch.request.settle(dispatch.type === 'run' ? {permit: dispatch.permit} : {kind: dispatch.kind});
		}
	};

	const tick = (): void => {
		for (const [name, service] of services) {
			configure(name, service);
			dispatchQueued(service.admission);
			const {queueLength, inFlight, inFlightLimit} = service.admission.snapshot(nowMs());
			metrics.queueLength.set({service: name}, queueLength);
			metrics.inFlight.set({service: name}, inFlight);
			metrics.inFlightLimit.set({service: name}, inFlightLimit);
		}
	};

	const timer = setInterval(tick, tickIntervalMs);

	const requestPermit = async (
		admission: ServiceAdmission<QueuedRequest>,
		request: Omit<QueuedRequest, 'settle'>,
		signal: AbortSignal,
	): Promise<{readonly permit: Permit} | {readonly kind: LoadRefusalKind}> =>
		new Promise(resolve => {
			const onCallerGone = (): void => {
				admission.cancel(waiting);
				resolve({kind: 'deadline-expired'});
			};

			const waiting: QueuedRequest = {
				...request,
				settle(admitted) {
					signal.removeEventListener('abort', onCallerGone);
					resolve(admitted);
				},
			};
			const decision = admission.admit(waiting, nowMs());
			switch (decision.type) {
				case 'run': {
					resolve({permit: decision.permit});
					return;
				}

				case 'refuse': {
					resolve({kind: decision.kind});
					return;
				}

				case 'wait': {
					signal.addEventListener('abort', onCallerGone, {once: true});
				}
			}
		});

	/**
	 * Finds an instance that is due a trial. Trials use only first attempts of idempotent requests without a body that
	 * are not suspected of crashing instances.
	 */
	const findTrial = (request: CallerRequest, fingerprint: string, tried: ReadonlySet<string>): Instance | undefined => {
		const isTrialCandidate = request.route.semantics === 'idempotent' && !request.hasBody && tried.size === 0;
		const placement = crash.placementOf(fingerprint, nowMs()).type;
		if (!isTrialCandidate || placement === 'alone' || placement === 'refused') {
			return undefined;
		}

		const trialId = health.nextTrial(request.service.name);
		return view.instances(request.service.name).find(instance => instance.hostId === trialId && instance.state === 'live');
	};

	return {
		async acquire(request, fingerprint, tried, signal) {
			const {name} = request.service;
			const trial = findTrial(request, fingerprint, tried);
			if (trial !== undefined) {
				return {type: 'run', instance: trial, release: () => undefined};
			}

			const service = serviceOf(name);
			configure(name, service);
			const {admission} = service;
			const admitted = await requestPermit(admission, {
				workspace: request.workspace, fingerprint, deadlineMs: request.deadlineAtMs, attemptedIds: [...tried],
			}, signal);
			if ('kind' in admitted) {
				return {type: 'refused', kind: admitted.kind};
			}

			const release = (outcome?: AttemptOutcome): void => {
				const bodySentAtMs = outcome?.type === 'answered' ? outcome.bodySentAtMs : undefined;
				admission.release(admitted.permit, toAttemptEnd(outcome), nowMs(), bodySentAtMs);
				dispatchQueued(admission);
			};

			const instance = view.instances(name).find(({hostId}) => hostId === admitted.permit.instanceId);
			if (instance === undefined) {
				release();
				return {type: 'refused', kind: 'no-capacity'};
			}

			return {type: 'run', instance, release};
		},
		close() {
			clearInterval(timer);
		},
	};
};
