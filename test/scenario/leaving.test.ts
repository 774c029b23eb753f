/** The load of `leaving-whole-service` on the load decisions of its entries, on a manual clock. */

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
/** Longest answers of a fleet whose processes have just started, and until when they occur. */
const firstAnswerMs = 300;
const firstAnswersUntilMs = 1000;
/** Leaves two of the three seconds in which new work may still arrive to the word and its spread. */
const askedWithinMs = 1000;

type Send = LoadRequest & {
	readonly atMs: number;
	readonly entry: number;
	/** Absent for a request that takes as long as the instance does. */
	readonly uploadMs?: number;
};

type Running = {
	readonly entry: number;
	readonly permit: Permit;
	readonly endsAtMs: number;
	readonly isRefused: boolean;
	/** When its caller had sent it whole. */
	readonly sentWholeAtMs: number;
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

/** What differs from run to run. */
type Chance = {
	/** Instance whose first answers are slow; none if it is not of the service. */
	readonly slowId: string;
	/** Instance that all uploads go to; the one that the entries choose if it is not of the service. */
	readonly uploadId: string;
};

/** Plays the load of `service`; gives the time at which each draining instance was first asked for work. */
const play = ({name, slots, instances}: Scenario['services'][number], {slowId, uploadId}: Chance): ReadonlyMap<string, number> => {
	const ids = Array.from({length: instances}, (_, index) => `${name}-${index + 1}`);
	const settings: LoadSettings = {
		slotsPerInstance: slots, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 1,
	};
	const sends = sendsTo(name);
	const loads: ReadonlyArray<ServiceAdmission<Send>> = Array.from({length: scenario.hosts}, (_, index) =>
		createServiceAdmission<Send>({random: createRandom(index + 1), placementOf: () => ({type: 'homes'})}));
	const askedAtMs = new Map<string, number>();
	let running: readonly Running[] = [];

	const start = ({entry, uploadMs}: Send, permit: Permit, nowMs: number): void => {
		const {instanceId} = permit;
		const isRefused = nowMs >= (drainsFromMs(instanceId) ?? Infinity);
		if (isRefused && !askedAtMs.has(instanceId)) {
			askedAtMs.set(instanceId, nowMs);
		}

		const ownAnswerMs = instanceId === slowId && nowMs < firstAnswersUntilMs ? firstAnswerMs : answerMs;
		const sentWholeAtMs = nowMs + (uploadMs ?? 0);
		running = [...running, {
			entry, permit, isRefused, sentWholeAtMs, endsAtMs: isRefused ? nowMs + 1 : sentWholeAtMs + ownAnswerMs,
		}];
	};

	const configureAll = (usableIds = ids): void => {
		const candidates = ids.map(instanceId => ({instanceId, weight: usableIds.includes(instanceId) && !askedAtMs.has(instanceId) ? 1 : 0}));
		for (const load of loads) {
			load.configure(settings, candidates, scenario.hosts);
		}
	};

	for (let nowMs = 0; nowMs < scenario.durationMs; nowMs++) {
		const ended = running.filter(({endsAtMs}) => endsAtMs <= nowMs);
		running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
		for (const {entry, permit, isRefused, sentWholeAtMs} of ended) {
			loads[entry]!.release(permit, isRefused ? 'shed' : 'answered', nowMs, sentWholeAtMs);
		}

		configureAll();
		for (const dispatch of loads.flatMap(load => load.dispatch(nowMs))) {
			if (dispatch.type === 'run') {
				start(dispatch.request, dispatch.permit, nowMs);
			}
		}

		for (const send of sends.filter(({atMs}) => atMs === nowMs)) {
			configureAll(send.uploadMs !== undefined && ids.includes(uploadId) ? [uploadId] : ids);
			const decision = loads[send.entry]!.admit(send, nowMs);
			if (decision.type === 'run') {
				start(send, decision.permit, nowMs);
			}
		}
	}

	return askedAtMs;
};

/** Instances that say only in an answer that they leave, and at which no work is expected from a fixed time on. */
const judgedByTime = scenario.expectations.flatMap(({expectation}) => {
	const leftAtMs = expectation.type === 'no-new-work' ? drainsFromMs(expectation.instance) : undefined;
	return expectation.type === 'no-new-work' && leftAtMs !== undefined ? [{instance: expectation.instance, leftAtMs}] : [];
});

const chancesOf = ({name, instances}: Scenario['services'][number]): readonly Chance[] => {
	const ids = ['none', ...Array.from({length: instances}, (_, index) => `${name}-${index + 1}`)];
	return ids.flatMap(slowId => ids.map(uploadId => ({slowId, uploadId})));
};

describe('leaving-whole-service', () => {
	for (const {instance, leftAtMs} of judgedByTime) {
		const service = scenario.services.find(({name}) => isOf(name, instance))!;
		for (const chance of chancesOf(service)) {
			it(`asks ${instance} for work once it drains; slow at first: ${chance.slowId}, uploads at: ${chance.uploadId}`, () => {
				const askedAtMs = play(service, chance).get(instance);
				expect(askedAtMs, 'first asked').to.be.within(leftAtMs, leftAtMs + askedWithinMs);
			});
		}
	}
});
