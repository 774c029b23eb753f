/** The instances of a replayed fleet: when each is registered, what each does to a request, and when each is sound. */

import {createRandom, hashText} from '@egretwing/core';
import type {FailureMode, FleetLoad, Trouble} from './fleet-load.ts';

/** Time after which an instance is sound again: when it failed by itself, and when it was in trouble. */
const soundAfterEpisodeMs = 2000;
const soundAfterTroubleMs = 6000;

/** Time for which a new instance is slow, and how much. */
export const warmupMs = 3000;
const warmupFactor = 2;

/** Time over which instances of one trouble leave, join or run out. */
const changeSpreadMs = 500;

/** One instance; times are infinite where nothing of the kind happens. */
export type FleetInstance = {
	readonly instanceId: string;
	readonly dataCentre: string;
	readonly joinsAtMs: number;
	/** When it says that it leaves. */
	readonly leavesAtMs: number;
	/** When its registration is gone. */
	readonly unlistedAtMs: number;
	/** When it refuses connections for good. */
	readonly endsAtMs: number;
	readonly troubles: readonly Trouble[];
};

/** Whether an instance can be reached from a gateway. */
export type Reach = 'open' | 'silent' | 'refused';

/** How an instance fails a request, and whether that is an episode of its own. */
export type DrawnFailure = {
	readonly mode: FailureMode;
	readonly isOwn: boolean;
};

/** A stable number in [0, 1) for an instance or a gateway and a purpose. */
export const drawFor = (id: string, purpose: string, seed: number): number => createRandom(hashText(`${id} ${purpose} ${seed}`)).next();

/** The purpose of the draw that decides whom a trouble hits. */
const purposeOf = (index: number): string => index === 0 ? 'failure' : `failure ${index}`;

type Draft = {-readonly [Field in keyof FleetInstance]: FleetInstance[Field]} & {troubles: Trouble[]};

const createDraft = (instanceId: string, dataCentre: string, joinsAtMs: number): Draft => ({
	instanceId, dataCentre, joinsAtMs, leavesAtMs: Number.POSITIVE_INFINITY, unlistedAtMs: Number.POSITIVE_INFINITY, endsAtMs: Number.POSITIVE_INFINITY, troubles: [],
});

/** Ids in an order that mixes the data centres. */
const createFirst = (service: string, counts: Readonly<Record<string, number>>): Draft[] => Object.entries(counts)
	.flatMap(([dataCentre, count]) => Array.from({length: count}, (_, index) => ({dataCentre, place: (index + 0.5) / count})))
	.toSorted((left, right) => left.place - right.place)
	.map(({dataCentre}, index) => createDraft(`${service}-${index}`, dataCentre, Number.NEGATIVE_INFINITY));

/** Instances of a load, those that join later included. */
export const createInstances = (service: string, {seed, instances: counts, troubles}: FleetLoad): readonly FleetInstance[] => {
	const instances = createFirst(service, counts);

	const join = (hit: readonly Draft[], index: number, atMs: number): void => {
		instances.push(...hit.map(({instanceId, dataCentre}) => {
			const id = `${instanceId}-${index}`;
			return createDraft(id, dataCentre, atMs + (changeSpreadMs * drawFor(id, 'join', seed)));
		}));
	};

	const strike = (trouble: Trouble, index: number): void => {
		const {fromMs, instanceShare} = trouble;
		const isRegistered = ({joinsAtMs, leavesAtMs, unlistedAtMs}: Draft): boolean => joinsAtMs <= fromMs && leavesAtMs > fromMs && unlistedAtMs > fromMs;
		const hit = instances.filter(instance => isRegistered(instance) && drawFor(instance.instanceId, purposeOf(index), seed) < instanceShare);
		const spreadMs = ({instanceId}: Draft): number => changeSpreadMs * drawFor(instanceId, `spread ${index}`, seed);
		switch (trouble.type) {
			case 'replaced': {
				for (const instance of hit) {
					instance.unlistedAtMs = fromMs + trouble.unlistedAfterMs + spreadMs(instance);
					instance.troubles.push(trouble);
				}

				join(hit.filter(({instanceId}) => drawFor(instanceId, `replaced ${index}`, seed) < trouble.replacedShare), index, fromMs + trouble.joinAfterMs);
				break;
			}

			case 'leaving': {
				for (const instance of hit) {
					instance.leavesAtMs = fromMs + spreadMs(instance);
					instance.endsAtMs = instance.leavesAtMs + trouble.servesMs;
				}

				break;
			}

			case 'joining': {
				join(hit, index, fromMs);
				break;
			}

			case 'failing':
			case 'slow':
			case 'silent':
			case 'down':
			case 'flapping':
			case 'cut': {
				for (const instance of hit) {
					instance.troubles.push(trouble);
				}
			}
		}
	};

	for (const [index, trouble] of troubles.entries()) {
		strike(trouble, index);
	}

	return instances;
};

const isActive = ({fromMs, untilMs}: Trouble, nowMs: number): boolean => nowMs >= fromMs && nowMs < untilMs;

/** What the instances of a load do to requests. */
export const createBehaviour = ({seed, episodes}: FleetLoad) => {
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

	const isCut = (instanceId: string, gatewayId: string, trouble: Trouble): boolean =>
		trouble.type === 'cut' && drawFor(`${gatewayId} ${instanceId}`, `cut ${trouble.fromMs}`, seed) < trouble.gatewayShare;

	const reach = ({instanceId, endsAtMs, troubles}: FleetInstance, gatewayId: string, nowMs: number): Reach => {
		const active = troubles.filter(trouble => isActive(trouble, nowMs));
		const isSilent = active.some(trouble => trouble.type === 'silent' || trouble.type === 'replaced'
			|| (trouble.type === 'cut' && trouble.lossShare === 1 && isCut(instanceId, gatewayId, trouble)));
		if (isSilent) {
			return 'silent';
		}

		const isDown = active.some(trouble => trouble.type === 'down' || (trouble.type === 'flapping' && Math.floor((nowMs - trouble.fromMs) / trouble.turnMs) % 2 === 0));
		return isDown || nowMs >= endsAtMs ? 'refused' : 'open';
	};

	const failureShares = ({instanceId, troubles}: FleetInstance, nowMs: number): ReadonlyArray<DrawnFailure & {readonly requestShare: number}> => {
		const own = episodeAgeMs(instanceId, nowMs) < episodes.lengthMs ? [{mode: episodes.mode ?? 'reset', isOwn: true, requestShare: episodes.failingShare}] : [];
		const made = troubles.flatMap(trouble => trouble.type === 'failing' && isActive(trouble, nowMs) ? [{mode: trouble.mode, isOwn: false, requestShare: trouble.requestShare}] : []);
		return [...made, ...own].toSorted((left, right) => right.requestShare - left.requestShare);
	};

	/** True when it takes requests and was in no trouble for a while, its own episodes aside. */
	const isUntroubled = ({joinsAtMs, leavesAtMs, unlistedAtMs, endsAtMs, troubles}: FleetInstance, nowMs: number): boolean =>
		nowMs >= joinsAtMs && nowMs < Math.min(leavesAtMs, unlistedAtMs, endsAtMs)
		&& troubles.every(({fromMs, untilMs}) => nowMs < fromMs || nowMs >= untilMs + soundAfterTroubleMs);

	return {
		reach,
		isUntroubled,
		/** The failure of a request for which `draw` was drawn: the likeliest one, if any. */
		failureOf(instance: FleetInstance, draw: number, nowMs: number): DrawnFailure | undefined {
			const [likeliest] = failureShares(instance, nowMs);
			return likeliest !== undefined && draw < likeliest.requestShare ? likeliest : undefined;
		},
		slowness({joinsAtMs, troubles}: FleetInstance, nowMs: number): number {
			const factors = troubles.map(trouble => trouble.type === 'slow' && isActive(trouble, nowMs) ? trouble.factor : 1);
			return Math.max(1, ...factors) * (nowMs - joinsAtMs < warmupMs ? warmupFactor : 1);
		},
		/** Share of the packets between a gateway and an instance that are lost. */
		lossShare({instanceId, troubles}: FleetInstance, gatewayId: string, nowMs: number): number {
			return Math.max(0, ...troubles.map(trouble => trouble.type === 'cut' && isActive(trouble, nowMs) && isCut(instanceId, gatewayId, trouble) ? trouble.lossShare : 0));
		},
		/** True when it takes requests and was in no trouble for a while, its own episodes included. */
		isSound(instance: FleetInstance, nowMs: number): boolean {
			return isUntroubled(instance, nowMs) && episodeAgeMs(instance.instanceId, nowMs) >= episodes.lengthMs + soundAfterEpisodeMs;
		},
	};
};

/** What the instances of a load do to requests. */
export type FleetBehaviour = ReturnType<typeof createBehaviour>;
