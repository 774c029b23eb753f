/**
 * Simulates the load of `leaving-whole-service` on a manual clock against the dispatch decisions of its entries.
 *
 * The tested instances are not marked as leaving in the host list, so entries learn that they drain only from the answer to
 * a request. The test guards against a load that brings the first such request so late that it counts as new work, which
 * fails the scenario without a fault of the fleet.
 */

import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {
	createRandom, createServiceAdmission,
	type LoadRequest, type LoadSettings, type Permit, type ServiceAdmission,
} from '@egretwing/core';
import {parseScenario} from './language/parse.ts';
import type {Scenario} from './language/types.ts';

const scenario = parseScenario(readFileSync(new URL('../../scenarios/leaving-whole-service.scenario', import.meta.url), 'utf8')).unwrap();

const msPerSecond = 1000;
const answerMs = 5;
/** Longest answer times of a fleet whose processes have just started, and until when they occur. */
const coldAnswerMs = 300;
const coldAnswersUntilMs = 1000;
/** Of the three seconds in which new work may still arrive, two remain for the draining answer and its propagation. */
const firstRefusalWithinMs = 1000;

type Send = LoadRequest & {
	readonly atMs: number;
	readonly entry: number;
	/** Duration of an upload; absent for other requests. */
	readonly uploadMs?: number;
};

type Running = {
	readonly entry: number;
	readonly permit: Permit;
	readonly endsAtMs: number;
	readonly isRefused: boolean;
	/** Time at which the caller has sent the complete request. */
	readonly requestSentAtMs: number;
};

const serviceOf = (path: string): string | undefined => scenario.routes.find(({pathPrefix}) => path.startsWith(pathPrefix))?.service;

const isOf = (service: string, instance: string): boolean => instance === service || instance.startsWith(`${service}-`);

const requestOf = (fingerprint: string): LoadRequest => ({
	workspace: 'scenario', fingerprint, deadlineMs: Infinity, attemptedIds: [],
});

const sendsTo = (service: string): readonly Send[] => {
	const {hosts, loads, steps, durationMs} = scenario;
	const requests = loads.filter(({path}) => serviceOf(path) === service).flatMap(({path, ratePerSecond}) =>
		Array.from({length: durationMs * ratePerSecond / msPerSecond}, (_, index) => ({
			...requestOf(`${path}/${index}`), atMs: Math.floor(index * msPerSecond / ratePerSecond), entry: index % hosts,
		})));
	const uploads = steps.flatMap(({atMs, action}, index) => action.type === 'transfer' && serviceOf(action.path) === service
		? [{
			...requestOf(action.path), atMs, entry: index % hosts, uploadMs: action.durationMs,
		}]
		: []);
	return [...requests, ...uploads];
};

/** Time from which the instance refuses new work. */
const drainsFromMs = (instance: string): number | undefined => scenario.steps.find(({action}) =>
	action.type === 'fault' && action.fault.type === 'drain' && action.targets.some(target => isOf(target, instance)))?.atMs;

/** Conditions that differ from run to run. */
type Variation = {
	/** Instance whose first answers are slow; an id that is not of the service stands for none. */
	readonly slowId: string;
	/** Instance that all uploads go to; with an id that is not of the service, the entries choose. */
	readonly uploadId: string;
};

/** Simulates the load of a service; returns the time at which each draining instance first refused a request. */
const simulate = ({name, slots, instances}: Scenario['services'][number], {slowId, uploadId}: Variation): ReadonlyMap<string, number> => {
	const ids = Array.from({length: instances}, (_, index) => `${name}-${index + 1}`);
	const settings: LoadSettings = {
		slotsPerInstance: slots, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 1,
	};
	const sends = sendsTo(name);
	const admissions: ReadonlyArray<ServiceAdmission<Send>> = Array.from({length: scenario.hosts}, (_, index) =>
		createServiceAdmission<Send>({random: createRandom(index + 1), placementOf: () => ({type: 'homes'})}));
	const firstRefusalAtMs = new Map<string, number>();
	let running: readonly Running[] = [];

	const start = ({entry, uploadMs}: Send, permit: Permit, nowMs: number): void => {
		const {instanceId} = permit;
		const isRefused = nowMs >= (drainsFromMs(instanceId) ?? Infinity);
		if (isRefused && !firstRefusalAtMs.has(instanceId)) {
			firstRefusalAtMs.set(instanceId, nowMs);
		}

		const instanceAnswerMs = instanceId === slowId && nowMs < coldAnswersUntilMs ? coldAnswerMs : answerMs;
		const requestSentAtMs = nowMs + (uploadMs ?? 0);
		running = [...running, {
			entry, permit, isRefused, requestSentAtMs, endsAtMs: isRefused ? nowMs + 1 : requestSentAtMs + instanceAnswerMs,
		}];
	};

	const configureAll = (usableIds = ids): void => {
		const candidates = ids.map(instanceId => ({instanceId, weight: usableIds.includes(instanceId) && !firstRefusalAtMs.has(instanceId) ? 1 : 0}));
		for (const admission of admissions) {
			admission.configure(settings, candidates, scenario.hosts);
		}
	};

	for (let nowMs = 0; nowMs < scenario.durationMs; nowMs++) {
		const ended = running.filter(({endsAtMs}) => endsAtMs <= nowMs);
		running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
		for (const {entry, permit, isRefused, requestSentAtMs} of ended) {
			admissions[entry]!.release(permit, isRefused ? 'shed' : 'answered', nowMs, requestSentAtMs);
		}

		configureAll();
		for (const dispatch of admissions.flatMap(admission => admission.dispatch(nowMs))) {
			if (dispatch.type === 'run') {
				start(dispatch.request, dispatch.permit, nowMs);
			}
		}

		for (const send of sends.filter(({atMs}) => atMs === nowMs)) {
			configureAll(send.uploadMs !== undefined && ids.includes(uploadId) ? [uploadId] : ids);
			const decision = admissions[send.entry]!.admit(send, nowMs);
			if (decision.type === 'run') {
				start(send, decision.permit, nowMs);
			}
		}
	}

	return firstRefusalAtMs;
};

/** Draining instances that announce it only in their answers and for which the scenario expects no new work from a fixed time on. */
const drainingInstances = scenario.expectations.flatMap(({expectation}) => {
	const leftAtMs = expectation.type === 'no-new-work' ? drainsFromMs(expectation.instance) : undefined;
	return expectation.type === 'no-new-work' && leftAtMs !== undefined ? [{instance: expectation.instance, leftAtMs}] : [];
});

const variationsOf = ({name, instances}: Scenario['services'][number]): readonly Variation[] => {
	const ids = ['none', ...Array.from({length: instances}, (_, index) => `${name}-${index + 1}`)];
	return ids.flatMap(slowId => ids.map(uploadId => ({slowId, uploadId})));
};

describe('leaving-whole-service', () => {
	for (const {instance, leftAtMs} of drainingInstances) {
		const service = scenario.services.find(({name}) => isOf(name, instance))!;
		for (const variation of variationsOf(service)) {
			it(`sends ${instance} a request soon after it starts to drain; slow at first: ${variation.slowId}, uploads to: ${variation.uploadId}`, () => {
				const firstRefusalAtMs = simulate(service, variation).get(instance);
				expect(firstRefusalAtMs, 'time of the first refusal').to.be.within(leftAtMs, leftAtMs + firstRefusalWithinMs);
			});
		}
	}
});
