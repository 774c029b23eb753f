/** Instances of a replayed fleet: when each is registered, how each handles a request, and when each is sound. */

import {createRandom, hashText} from '@egretwing/core';
import type {FailureMode, FleetLoad, Fault} from './fleet-load.ts';

/** Time after which an instance is sound again: after an episode of its own, and after a drawn fault. */
const soundAfterEpisodeMs = 2000;
const soundAfterFaultMs = 6000;

/** Time for which a new instance is slow, and the factor on its service time. */
export const warmupMs = 3000;
const warmupFactor = 2;

/** Time over which the instances of one fault leave, join or expire. */
const changeSpreadMs = 500;

/** An instance; times of events that do not happen are infinite. */
export type FleetInstance = {
	readonly instanceId: string;
	readonly dataCentre: string;
	readonly joinsAtMs: number;
	/** When it announces that it leaves. */
	readonly leavesAtMs: number;
	/** When its registration is gone. */
	readonly unlistedAtMs: number;
	/** When it refuses connections for good. */
	readonly endsAtMs: number;
	readonly faults: readonly Fault[];
};

/** Reachability of an instance from a gateway. */
export type Reach = 'open' | 'silent' | 'refused';

/** How an instance fails a request; `isOwn` in an episode of its own, rather than because of a drawn fault. */
export type DrawnFailure = {
	readonly mode: FailureMode;
	readonly isOwn: boolean;
};

/** Draws a number in [0, 1) that is stable for an instance or gateway and a purpose. */
export const drawFor = (id: string, purpose: string, seed: number): number => createRandom(hashText(`${id} ${purpose} ${seed}`)).next();

/** Purpose of the draw that decides which instances a fault affects. */
const purposeOf = (index: number): string => index === 0 ? 'failure' : `failure ${index}`;

type Draft = {-readonly [Field in keyof FleetInstance]: FleetInstance[Field]} & {faults: Fault[]};

const createDraft = (instanceId: string, dataCentre: string, joinsAtMs: number): Draft => ({
	instanceId, dataCentre, joinsAtMs, leavesAtMs: Number.POSITIVE_INFINITY, unlistedAtMs: Number.POSITIVE_INFINITY, endsAtMs: Number.POSITIVE_INFINITY, faults: [],
});

/** Creates the initial instances; their ids are assigned in an order that mixes the data centres. */
const createFirst = (service: string, counts: Readonly<Record<string, number>>): Draft[] => Object.entries(counts)
	.flatMap(([dataCentre, count]) => Array.from({length: count}, (_, index) => ({dataCentre, place: (index + 0.5) / count})))
	.toSorted((left, right) => left.place - right.place)
	.map(({dataCentre}, index) => createDraft(`${service}-${index}`, dataCentre, Number.NEGATIVE_INFINITY));

/** Creates the instances of a load, including those that join later. */
export const createInstances = (service: string, {seed, instances: counts, faults}: FleetLoad): readonly FleetInstance[] => {
	const instances = createFirst(service, counts);

	const join = (affected: readonly Draft[], index: number, atMs: number): void => {
		instances.push(...affected.map(({instanceId, dataCentre}) => {
			const id = `${instanceId}-${index}`;
			return createDraft(id, dataCentre, atMs + (changeSpreadMs * drawFor(id, 'join', seed)));
		}));
	};

	const applyFault = (fault: Fault, index: number): void => {
		const {fromMs, instanceShare} = fault;
		const isRegistered = ({joinsAtMs, leavesAtMs, unlistedAtMs}: Draft): boolean => joinsAtMs <= fromMs && leavesAtMs > fromMs && unlistedAtMs > fromMs;
		const affected = instances.filter(instance => isRegistered(instance) && drawFor(instance.instanceId, purposeOf(index), seed) < instanceShare);
		const spreadMs = ({instanceId}: Draft): number => changeSpreadMs * drawFor(instanceId, `spread ${index}`, seed);
		switch (fault.type) {
			case 'replaced': {
				for (const instance of affected) {
					instance.unlistedAtMs = fromMs + fault.unlistedAfterMs + spreadMs(instance);
					instance.faults.push(fault);
				}

				join(affected.filter(({instanceId}) => drawFor(instanceId, `replaced ${index}`, seed) < fault.replacedShare), index, fromMs + fault.joinAfterMs);
				break;
			}

			case 'leaving': {
				for (const instance of affected) {
					instance.leavesAtMs = fromMs + spreadMs(instance);
					instance.endsAtMs = instance.leavesAtMs + fault.servesMs;
				}

				break;
			}

			case 'joining': {
				join(affected, index, fromMs);
				break;
			}

			case 'failing':
			case 'slow':
			case 'silent':
			case 'down':
			case 'flapping':
			case 'cut': {
				for (const instance of affected) {
					instance.faults.push(fault);
				}
			}
		}
	};

	for (const [index, fault] of faults.entries()) {
		applyFault(fault, index);
	}

	return instances;
};

const isActive = ({fromMs, untilMs}: Fault, nowMs: number): boolean => nowMs >= fromMs && nowMs < untilMs;

/** Creates the behaviour of the instances of a load. */
export const createBehaviour = ({seed, episodes}: FleetLoad) => {
	/** Time since the start of the last episode; infinite when there was none in this period and the one before. */
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

	const isCut = (instanceId: string, gatewayId: string, fault: Fault): boolean =>
		fault.type === 'cut' && drawFor(`${gatewayId} ${instanceId}`, `cut ${fault.fromMs}`, seed) < fault.gatewayShare;

	const reach = ({instanceId, endsAtMs, faults}: FleetInstance, gatewayId: string, nowMs: number): Reach => {
		const active = faults.filter(fault => isActive(fault, nowMs));
		const isSilent = active.some(fault => fault.type === 'silent' || fault.type === 'replaced'
			|| (fault.type === 'cut' && fault.lossShare === 1 && isCut(instanceId, gatewayId, fault)));
		if (isSilent) {
			return 'silent';
		}

		const isDown = active.some(fault => fault.type === 'down' || (fault.type === 'flapping' && Math.floor((nowMs - fault.fromMs) / fault.turnMs) % 2 === 0));
		return isDown || nowMs >= endsAtMs ? 'refused' : 'open';
	};

	const failureShares = ({instanceId, faults}: FleetInstance, nowMs: number): ReadonlyArray<DrawnFailure & {readonly requestShare: number}> => {
		const own = episodeAgeMs(instanceId, nowMs) < episodes.lengthMs ? [{mode: episodes.mode ?? 'reset', isOwn: true, requestShare: episodes.failingShare}] : [];
		const made = faults.flatMap(fault => fault.type === 'failing' && isActive(fault, nowMs) ? [{mode: fault.mode, isOwn: false, requestShare: fault.requestShare}] : []);
		return [...made, ...own].toSorted((left, right) => right.requestShare - left.requestShare);
	};

	/** Whether it takes requests and no drawn fault affected it for a while; its own episodes are not considered. */
	const isFaultFree = ({joinsAtMs, leavesAtMs, unlistedAtMs, endsAtMs, faults}: FleetInstance, nowMs: number): boolean =>
		nowMs >= joinsAtMs && nowMs < Math.min(leavesAtMs, unlistedAtMs, endsAtMs)
		&& faults.every(({fromMs, untilMs}) => nowMs < fromMs || nowMs >= untilMs + soundAfterFaultMs);

	return {
		reach,
		isFaultFree,
		/** Failure of a request for the random number `draw`: that of the likeliest cause, if any. */
		failureOf(instance: FleetInstance, draw: number, nowMs: number): DrawnFailure | undefined {
			const [likeliest] = failureShares(instance, nowMs);
			return likeliest !== undefined && draw < likeliest.requestShare ? likeliest : undefined;
		},
		slowness({joinsAtMs, faults}: FleetInstance, nowMs: number): number {
			const factors = faults.map(fault => fault.type === 'slow' && isActive(fault, nowMs) ? fault.factor : 1);
			return Math.max(1, ...factors) * (nowMs - joinsAtMs < warmupMs ? warmupFactor : 1);
		},
		/** Packet loss between a gateway and an instance, as a share. */
		lossShare({instanceId, faults}: FleetInstance, gatewayId: string, nowMs: number): number {
			return Math.max(0, ...faults.map(fault => fault.type === 'cut' && isActive(fault, nowMs) && isCut(instanceId, gatewayId, fault) ? fault.lossShare : 0));
		},
		/** Whether it takes requests and neither a drawn fault nor an episode of its own affected it for a while. */
		isSound(instance: FleetInstance, nowMs: number): boolean {
			return isFaultFree(instance, nowMs) && episodeAgeMs(instance.instanceId, nowMs) >= episodes.lengthMs + soundAfterEpisodeMs;
		},
	};
};

/** Behaviour of the instances of a load. */
export type FleetBehaviour = ReturnType<typeof createBehaviour>;
