/** Replays a load against the dispatchers of several gateways in virtual time; they hear of each other by cut reports. */

import {setImmediate} from 'node:timers/promises';
import {
	createCatalogue, createManualClock, createRandom, hashText, type AttemptResult, type Random,
} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {tickIntervalMs} from '../../src/constants.ts';
import {createDispatchers, type Dispatchers, type Placed} from '../../src/dispatchers.ts';

const service = 'seatledger';

/** Way of a report from one gateway to another. */
const reportDelayMs = 2;

/** Time after which a failing instance resets a request. */
const resetAfterMs = 20;

/** Time after which an instance is sound again: when it failed by itself, and when it was made to fail. */
const soundAfterEpisodeMs = 2000;
const soundAfterFailureMs = 6000;

const windowMs = 2000;
const windowStepMs = 100;

/** A window counts while a larger share of its requests isn't served than the first, but a smaller one than the second. */
const minUnservedShare = 0.1;
const maxUnservedShare = 0.5;

/** Instances that are made to fail for a time. */
export type Failure = {
	readonly fromMs: number;
	readonly untilMs: number;
	/** Share of the instances. */
	readonly instanceShare: number;
	/** Share of the requests that such an instance resets. */
	readonly resetShare: number;
};

/** A load to replay; no request may be repeated. */
export type FleetLoad = {
	readonly seed: number;
	readonly lengthMs: number;
	/** Gateways that take callers, by data centre. */
	readonly gateways: Readonly<Record<string, number>>;
	readonly instances: Readonly<Record<string, number>>;
	readonly slots: number;
	readonly perSecond: number;
	/** Mean and spread of the logarithm of a lognormal service time. */
	readonly serviceMs: number;
	readonly serviceSpread: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Share of the answers that are errors of the instance. */
	readonly errorShare: number;
	/** Episodes in which an instance fails by itself. */
	readonly episodes: {
		readonly instanceShare: number; readonly periodMs: number; readonly lengthMs: number; readonly resetShare: number;
		/** True when other instances fail in each period, rather than the same ones again. */
		readonly isDrawnAnew?: boolean;
	};
	readonly failure: Failure;
	/** When all gateways are lost, with what they have in flight; nothing is asked afterwards. */
	readonly lostAtMs?: number;
};

/** A window in which the floor holds: some requests weren't served, but not too many. */
export type TroubledWindow = {
	readonly fromMs: number;
	readonly asked: number;
	readonly unserved: number;
	/** Instances that were sound throughout. */
	readonly sound: number;
	/** Those of them that got a request of any gateway. */
	readonly reached: number;
};

/** What the replay saw. */
export type FleetOutcome = {
	readonly asked: number;
	readonly unserved: number;
	readonly windows: readonly TroubledWindow[];
};

type Instance = {readonly instanceId: string; readonly dataCentre: string};

type Asked = {readonly atMs: number; isServed: boolean};

/** Ids in an order that mixes the data centres. */
const createInstances = (counts: Readonly<Record<string, number>>): readonly Instance[] => Object.entries(counts)
	.flatMap(([dataCentre, count]) => Array.from({length: count}, (_, index) => ({dataCentre, place: (index + 0.5) / count})))
	.toSorted((left, right) => left.place - right.place)
	.map(({dataCentre}, index) => ({instanceId: `${service}-${index}`, dataCentre}));

/** A stable number in [0, 1) for an instance and a purpose. */
const drawFor = (instanceId: string, purpose: string, seed: number): number => createRandom(hashText(`${instanceId} ${purpose} ${seed}`)).next();

/** Tells when an instance fails. */
const createFailures = ({seed, episodes, failure}: FleetLoad) => {
	/** Time since the begin of the last episode; infinite when there was none in this period and the one before. */
	const episodeAgeMs = (instanceId: string, nowMs: number): number => {
		const phasedMs = nowMs + (drawFor(instanceId, 'phase', seed) * episodes.periodMs);
		const ageMs = phasedMs % episodes.periodMs;
		const period = Math.floor(phasedMs / episodes.periodMs);
		const isProne = (index: number): boolean => drawFor(instanceId, episodes.isDrawnAnew ? `prone ${index}` : 'prone', seed) < episodes.instanceShare;
		if (isProne(period)) {
			return ageMs;
		}

		return isProne(period - 1) ? ageMs + episodes.periodMs : Number.POSITIVE_INFINITY;
	};

	const isMadeToFail = (instanceId: string): boolean => drawFor(instanceId, 'failure', seed) < failure.instanceShare;

	return {
		resetShare(instanceId: string, nowMs: number): number {
			const isFailing = isMadeToFail(instanceId) && nowMs >= failure.fromMs && nowMs < failure.untilMs;
			const isInEpisode = episodeAgeMs(instanceId, nowMs) < episodes.lengthMs;
			return Math.max(isFailing ? failure.resetShare : 0, isInEpisode ? episodes.resetShare : 0);
		},
		isSound(instanceId: string, nowMs: number): boolean {
			const isDisrupted = isMadeToFail(instanceId) && nowMs >= failure.fromMs && nowMs < failure.untilMs + soundAfterFailureMs;
			return !isDisrupted && episodeAgeMs(instanceId, nowMs) >= episodes.lengthMs + soundAfterEpisodeMs;
		},
	};
};

const createSchedule = () => {
	const events: Array<{readonly atMs: number; readonly run: () => void}> = [];
	return {
		at(atMs: number, run: () => void): void {
			const place = events.findLastIndex(event => event.atMs <= atMs);
			events.splice(place + 1, 0, {atMs, run});
		},
		next: () => events.shift(),
	};
};

const lognormalMs = ({serviceMs, serviceSpread}: FleetLoad, random: Random): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	return serviceMs * Math.exp((serviceSpread * normal) - ((serviceSpread ** 2) / 2));
};

/** Plays the load; the gateways differ by their random source alone. */
export const replayFleet = async (load: FleetLoad): Promise<FleetOutcome> => {
	const random = createRandom(load.seed);
	const clock = createManualClock();
	const schedule = createSchedule();
	const instances = createInstances(load.instances);
	const failures = createFailures(load);
	const asked: Asked[] = [];
	const lostAtMs = load.lostAtMs ?? Number.POSITIVE_INFINITY;
	const startsMs = new Map<string, number[]>(instances.map(({instanceId}) => [instanceId, []]));

	const catalogue = createCatalogue();
	catalogue.mergeInstances(instances.map(({instanceId, dataCentre}, index) => ({
		instanceId,
		revision: index + 1,
		record: {
			service, address: '10.0.0.1', port: index + 1, dataCentre, slots: load.slots, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
		},
	})), instances.length, clock.nowMs());

	const gateways: Dispatchers[] = Object.entries(load.gateways)
		.flatMap(([dataCentre, count]) => Array.from({length: count}, () => dataCentre))
		.map((dataCentre, index) => createDispatchers({
			dataCentre,
			catalogue,
			random: createRandom((load.seed * 1000) + index),
			nowMs: clock.nowMs,
			logger: createLogger('test', `gateway-${index}`, 0),
			isUnplaced: () => false,
			onState: () => undefined,
			tell(name, report) {
				schedule.at(clock.nowMs() + reportDelayMs, () => {
					for (const [peerIndex, peer] of gateways.entries()) {
						if (peerIndex !== index) {
							peer.hear(name, `gateway-${index}`, report);
						}
					}
				});
			},
		}));

	const conclude = (gateway: Dispatchers, request: Asked, isServed: boolean): void => {
		request.isServed = isServed;
		gateway.noteServed(service, isServed);
	};

	const start = (gateway: Dispatchers, request: Asked, placed: Placed, finalAtMs: number): void => {
		if (placed.type !== 'send') {
			conclude(gateway, request, false);
			return;
		}

		const {placement} = placed;
		const nowMs = clock.nowMs();
		startsMs.get(placement.instanceId)!.push(nowMs);
		const isReset = random.next() < failures.resetShare(placement.instanceId, nowMs);
		const endsAtMs = nowMs + (isReset ? resetAfterMs : lognormalMs(load, random));
		const answer: AttemptResult = random.next() < load.errorShare ? 'server-error' : 'good';
		if (Math.min(endsAtMs, finalAtMs) >= lostAtMs) {
			return;
		}

		const result = endsAtMs > finalAtMs ? 'no-answer' : (isReset ? 'broken' : answer);
		schedule.at(Math.min(endsAtMs, finalAtMs), () => {
			gateway.finish(service, placement, result);
			conclude(gateway, request, result === 'good');
		});
	};

	const arrive = (): void => {
		const nowMs = clock.nowMs();
		const gateway = gateways[Math.floor(random.next() * gateways.length)]!;
		const request: Asked = {atMs: nowMs, isServed: false};
		const finalAtMs = nowMs + load.timeoutMs;
		asked.push(request);
		const place = async (): Promise<void> => {
			const placed = await gateway.place(service, {
				requestId: String(asked.length), rank: 0, isIdempotent: false, isReturning: false, bodyBytes: 0, objectiveAtMs: nowMs + load.objectiveMs, finalAtMs, attemptedIds: [],
			}, new AbortController().signal);
			start(gateway, request, placed, finalAtMs);
		};

		void place();
		const nextMs = nowMs - (Math.log(1 - random.next()) * 1000 / load.perSecond);
		if (nextMs < load.lengthMs) {
			schedule.at(nextMs, arrive);
		}
	};

	const tick = (gateway: Dispatchers): void => {
		gateway.tick();
		if (clock.nowMs() < load.lengthMs + load.timeoutMs) {
			schedule.at(clock.nowMs() + tickIntervalMs, () => {
				tick(gateway);
			});
		}
	};

	schedule.at(0, arrive);
	for (const [index, gateway] of gateways.entries()) {
		schedule.at(index * tickIntervalMs / gateways.length, () => {
			tick(gateway);
		});
	}

	for (let event = schedule.next(); event !== undefined; event = schedule.next()) {
		clock.advanceMs(event.atMs - clock.nowMs());
		event.run();
		await setImmediate();
	}

	const reachedWithin = (instanceId: string, fromMs: number): boolean => startsMs.get(instanceId)!.some(atMs => atMs >= fromMs && atMs < fromMs + windowMs);

	const isSoundThroughout = (instanceId: string, fromMs: number): boolean =>
		Array.from({length: (windowMs / windowStepMs) + 1}, (_, step) => fromMs + (step * windowStepMs)).every(atMs => failures.isSound(instanceId, atMs));

	const windows = Array.from({length: Math.floor((load.lengthMs - windowMs) / windowStepMs)}, (_, step) => step * windowStepMs).flatMap((fromMs): readonly TroubledWindow[] => {
		const within = asked.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + windowMs);
		const unserved = within.filter(({isServed}) => !isServed).length;
		if (unserved <= minUnservedShare * within.length || unserved >= maxUnservedShare * within.length) {
			return [];
		}

		const sound = instances.filter(({instanceId}) => isSoundThroughout(instanceId, fromMs));
		const reached = sound.filter(({instanceId}) => reachedWithin(instanceId, fromMs)).length;
		return [{
			fromMs, asked: within.length, unserved, sound: sound.length, reached,
		}];
	});
	return {asked: asked.length, unserved: asked.filter(({isServed}) => !isServed).length, windows};
};
