/** Admission of requests to the services: an instance now, after a short wait, or a refusal. */

import {
	createServiceAdmission,
	type AttemptEnd, type Candidate, type Instance, type LoadRefusalKind, type LoadRequest, type Permit, type Random, type ServiceAdmission, type Standing,
} from '@egretwing/core';
import type {AdmissionMetrics} from './admission-metrics.ts';
import type {AttemptOutcome} from './attempt.ts';
import type {EntryCrash} from './crash.ts';
import type {EntryHealth} from './health.ts';
import type {CallerRequest} from './request.ts';
import type {View} from './view.ts';

const tickIntervalMs = 20;

/** What a request that asks for an instance is given. */
export type Admitted
	= | {
		readonly type: 'run';
		readonly instance: Instance;
		/** Gives the place back once the attempt has ended. */
		readonly release: (outcome?: AttemptOutcome) => void;
	}
	| {readonly type: 'refused'; readonly kind: LoadRefusalKind};

/** The admission of an entry. */
export type Admission = {
	readonly acquire: (request: CallerRequest, fingerprint: string, tried: ReadonlySet<string>, signal: AbortSignal) => Promise<Admitted>;
	readonly close: () => void;
};

/** What the admission needs. */
export type AdmissionOptions = {
	readonly nowMs: () => number;
	readonly view: Pick<View, 'instances' | 'members' | 'service'>;
	readonly health: Pick<EntryHealth, 'standing' | 'nextTrial'>;
	readonly crash: Pick<EntryCrash, 'placementOf'>;
	readonly random: Random;
	readonly metrics: AdmissionMetrics;
};

type Waiting = LoadRequest & {
	readonly settle: (admitted: {readonly permit: Permit} | {readonly kind: LoadRefusalKind}) => void;
};

type Service = {
	readonly load: ServiceAdmission<Waiting>;
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

const weightOf = (standing: Standing, needsSpared: boolean): number => {
	switch (standing.kind) {
		case 'use': {
			return standing.weight;
		}

		case 'spared': {
			return needsSpared ? 1 : 0;
		}

		case 'avoided':
		case 'ejected':
		case 'leaving': {
			return 0;
		}
	}
};

/** Creates the admission of an entry and starts its timer. */
export const createAdmission = (options: AdmissionOptions): Admission => {
	const {nowMs, view, health, crash, random, metrics} = options;
	const services = new Map<string, Service>();

	const candidatesOf = (name: string, inFlight: number, slotsPerInstance: number): readonly Candidate[] => {
		const standings = view.instances(name)
			.filter(instance => instance.state === 'live')
			.map(({hostId}) => ({hostId, standing: health.standing(name, hostId)}));
		const used = standings.filter(({standing}) => standing.kind === 'use').length;
		const needsSpared = inFlight >= used * slotsPerInstance;
		return standings.map(({hostId, standing}) => ({instanceId: hostId, weight: weightOf(standing, needsSpared)}));
	};

	const configure = (name: string, service: Service): void => {
		const record = view.service(name);
		if (record === undefined) {
			return;
		}

		const {inFlight} = service.load.snapshot(nowMs());
		const entryCount = view.members().filter(member => member.usable).length;
		service.configuredAtMs = nowMs();
		service.load.configure(record, candidatesOf(name, inFlight, record.slotsPerInstance), entryCount);
	};

	const serviceOf = (name: string): Service => {
		let service = services.get(name);
		if (service === undefined) {
			service = {load: createServiceAdmission<Waiting>({random, placementOf: crash.placementOf}), configuredAtMs: 0};
			services.set(name, service);
		}

		return service;
	};

	const settleWaiting = (load: ServiceAdmission<Waiting>): void => {
		for (const dispatch of load.dispatch(nowMs())) {
			dispatch.request.settle(dispatch.type === 'run' ? {permit: dispatch.permit} : {kind: dispatch.kind});
		}
	};

	const tick = (): void => {
		for (const [name, service] of services) {
			configure(name, service);
			settleWaiting(service.load);
			const {queueLength, inFlight, inFlightLimit} = service.load.snapshot(nowMs());
			metrics.queueLength.set({service: name}, queueLength);
			metrics.inFlight.set({service: name}, inFlight);
			metrics.inFlightLimit.set({service: name}, inFlightLimit);
		}
	};

	const timer = setInterval(tick, tickIntervalMs);

	const permitOf = async (load: ServiceAdmission<Waiting>, request: Omit<Waiting, 'settle'>, signal: AbortSignal): Promise<{readonly permit: Permit} | {readonly kind: LoadRefusalKind}> =>
		new Promise(resolve => {
			const onGone = (): void => {
				load.cancel(waiting);
				resolve({kind: 'deadline-expired'});
			};

			const waiting: Waiting = {
				...request,
				settle(admitted) {
					signal.removeEventListener('abort', onGone);
					resolve(admitted);
				},
			};
			const decision = load.admit(waiting, nowMs());
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
					signal.addEventListener('abort', onGone, {once: true});
				}
			}
		});

	/** An instance that is due a trial takes an idempotent request that is no suspect. */
	const findTrial = (request: CallerRequest, fingerprint: string, tried: ReadonlySet<string>): Instance | undefined => {
		const isTrialable = request.route.semantics === 'idempotent' && !request.hasBody && tried.size === 0;
		const placement = crash.placementOf(fingerprint, nowMs()).type;
		if (!isTrialable || placement === 'alone' || placement === 'refused') {
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
			const {load} = service;
			const admitted = await permitOf(load, {
				workspace: request.workspace, fingerprint, deadlineMs: request.deadlineAtMs, attemptedIds: [...tried],
			}, signal);
			if ('kind' in admitted) {
				return {type: 'refused', kind: admitted.kind};
			}

			const release = (outcome?: AttemptOutcome): void => {
				const sentWholeAtMs = outcome?.type === 'answered' ? outcome.sentWholeAtMs : undefined;
				load.release(admitted.permit, toAttemptEnd(outcome), nowMs(), sentWholeAtMs);
				settleWaiting(load);
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
