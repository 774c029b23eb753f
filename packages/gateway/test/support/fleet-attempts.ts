/** Simulates attempts at the instances of a replayed fleet: whether each arrives, how it ends, and when. */

import type {AttemptResult, Random} from '@egretwing/core';
import {connectTimeoutMs, maxIdleConnectionMs} from '../../src/constants.ts';
import type {FleetBehaviour, FleetInstance} from './fleet-instances.ts';
import type {FleetLoad} from './fleet-load.ts';
import type {InstanceLog, LoggedAttempt} from './floor-windows.ts';

/** Time after which a failing instance resets a request. */
const resetAfterMs = 20;

/** Time after which an instance rejects a request, or its host a connection. */
const rejectAfterMs = 2;

/** Initial retransmission timeout of a lost packet; doubles with each retransmission. */
const retransmitMs = 200;

/** How an attempt ends, and when. */
export type Ending = {
	readonly atMs: number;
	readonly result: AttemptResult;
};

/** The attempts of one replay. */
export type FleetAttempts = {
	/** Starts an attempt, which ends at `finalAtMs` at the latest. */
	readonly run: (instanceId: string, gatewayId: string, nowMs: number, finalAtMs: number) => Ending;
	/** Records the end of an attempt, whose connection may be reused. */
	readonly recordEnd: (instanceId: string, gatewayId: string, result: AttemptResult, nowMs: number) => void;
	readonly logs: () => ReadonlyArray<readonly [FleetInstance, InstanceLog]>;
};

type InstanceState = {
	readonly instance: FleetInstance;
	readonly arrivedAtMs: number[];
	readonly failedAtMs: number[];
	readonly attempts: LoggedAttempt[];
	/** When each of its slots becomes free. */
	readonly freeAtMs: number[];
	/** When the requests that it accepted end. */
	endsAtMs: readonly number[];
	/** When the last exchange with each gateway ended. */
	readonly connectedAtMs: Map<string, number>;
};

const lognormalMs = ({serviceMs, serviceSpread}: FleetLoad, random: Random): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	return serviceMs * Math.exp((serviceSpread * normal) - ((serviceSpread ** 2) / 2));
};

/** Creates the simulation; draws from `random` in the order of the attempts. */
export const createAttempts = (load: FleetLoad, instances: readonly FleetInstance[], behaviour: FleetBehaviour, random: Random): FleetAttempts => {
	const states = new Map<string, InstanceState>(instances.map(instance => [instance.instanceId, {
		instance, arrivedAtMs: [], failedAtMs: [], attempts: [], freeAtMs: Array.from({length: load.slots}, () => 0), endsAtMs: [], connectedAtMs: new Map(),
	}]));

	/** Delay of an answer by retransmissions of lost packets. */
	const retransmissionsMs = (instance: FleetInstance, gatewayId: string, nowMs: number): number => {
		const lossShare = behaviour.lossShare(instance, gatewayId, nowMs);
		if (lossShare === 0) {
			return 0;
		}

		let delayMs = 0;
		for (let waitMs = retransmitMs; waitMs < load.timeoutMs && random.next() < lossShare; waitMs *= 2) {
			delayMs += waitMs;
		}

		return delayMs;
	};

	/** How a request ends if the instance becomes unreachable before `endMs`. */
	const interruptionOf = (instance: FleetInstance, gatewayId: string, fromMs: number, endMs: number): Ending | undefined => {
		const changesMs = [...instance.faults.map(({fromMs: atMs}) => atMs), instance.endsAtMs].filter(atMs => atMs > fromMs && atMs < endMs);
		for (const atMs of changesMs.toSorted((left, right) => left - right)) {
			const reach = behaviour.reach(instance, gatewayId, atMs);
			if (reach !== 'open') {
				return reach === 'silent' ? {atMs: Number.POSITIVE_INFINITY, result: 'no-answer'} : {atMs, result: 'broken'};
			}
		}

		return undefined;
	};

	/** Runs a request in the next free slot and returns its end; undefined when the queue is full. */
	const occupy = (state: InstanceState, nowMs: number, workMs: number): number | undefined => {
		state.endsAtMs = state.endsAtMs.filter(atMs => atMs > nowMs);
		if (load.queueLength !== undefined && state.endsAtMs.length >= load.slots + load.queueLength) {
			return undefined;
		}

		const slot = state.freeAtMs.indexOf(Math.min(...state.freeAtMs));
		const endMs = Math.max(nowMs, load.queueLength === undefined ? 0 : state.freeAtMs[slot]!) + workMs;
		state.freeAtMs[slot] = endMs;
		state.endsAtMs = [...state.endsAtMs, endMs];
		return endMs;
	};

	/** Simulates a request that arrives at the instance. */
	const work = (state: InstanceState, gatewayId: string, nowMs: number): Ending => {
		const {instance} = state;
		state.arrivedAtMs.push(nowMs);
		const failure = behaviour.failureOf(instance, random.next(), nowMs);
		const workMs = failure?.mode === 'reset' ? resetAfterMs : lognormalMs(load, random) * behaviour.slowness(instance, nowMs);
		const isError = random.next() < load.errorShare;
		if (failure?.isOwn) {
			state.failedAtMs.push(nowMs);
		}

		switch (failure?.mode) {
			case 'reset': {
				return {atMs: nowMs + resetAfterMs, result: 'broken'};
			}

			case 'shed': {
				return {atMs: nowMs + rejectAfterMs, result: 'shed'};
			}

			case 'hang': {
				return {atMs: Number.POSITIVE_INFINITY, result: 'no-answer'};
			}

			case 'lost-answer':
			case 'error':
			case undefined: {
				const endMs = occupy(state, nowMs, workMs);
				if (endMs === undefined) {
					return {atMs: nowMs + rejectAfterMs, result: 'shed'};
				}

				const result = failure?.mode === 'lost-answer' ? 'broken' : (isError || failure?.mode === 'error' ? 'server-error' : 'good');
				return interruptionOf(instance, gatewayId, nowMs, endMs) ?? {atMs: endMs + retransmissionsMs(instance, gatewayId, nowMs), result};
			}
		}
	};

	const attempt = (state: InstanceState, gatewayId: string, nowMs: number, finalAtMs: number): Ending => {
		const reach = behaviour.reach(state.instance, gatewayId, nowMs);
		if (reach === 'refused') {
			return {atMs: nowMs + rejectAfterMs, result: 'unreachable'};
		}

		if (reach === 'silent') {
			const isConnected = nowMs - (state.connectedAtMs.get(gatewayId) ?? Number.NEGATIVE_INFINITY) < maxIdleConnectionMs;
			return isConnected ? {atMs: finalAtMs, result: 'no-answer'} : {atMs: Math.min(finalAtMs, nowMs + connectTimeoutMs), result: 'unreachable'};
		}

		const ending = work(state, gatewayId, nowMs);
		return ending.atMs > finalAtMs ? {atMs: finalAtMs, result: 'no-answer'} : ending;
	};

	return {
		run(instanceId, gatewayId, nowMs, finalAtMs) {
			const state = states.get(instanceId)!;
			const ending = attempt(state, gatewayId, nowMs, finalAtMs);
			state.attempts.push({
				gatewayId, fromMs: nowMs, untilMs: ending.atMs, result: ending.result,
			});
			return ending;
		},
		recordEnd(instanceId, gatewayId, result, nowMs) {
			if (result === 'good' || result === 'server-error') {
				states.get(instanceId)!.connectedAtMs.set(gatewayId, nowMs);
			}
		},
		logs: () => Array.from(states.values(), state => [state.instance, state] as const),
	};
};
