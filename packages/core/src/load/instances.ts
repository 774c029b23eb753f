/** Tracks the load of each instance of a service at one entry. */

import {hashText} from '../random.ts';
import {
	maxAvoidMs, minAvoidMs, shedSlotDecrease, slotFactorStep, unknownLatencyMs,
} from './constants.ts';
import {createPeakLatency, type LatencyAverage} from './latency.ts';
import type {InstanceView} from './selection.ts';
import type {AttemptEnd, Candidate, Permit} from './types.ts';

type InstanceState = {
	readonly instanceId: string;
	readonly idHash: number;
	readonly latency: LatencyAverage;
	weight: number;
	inFlight: number;
	suspectsInFlight: number;
	/** Share of its slots that an instance gets work for; reduced when it sheds. */
	slotFactor: number;
	/** When it refused a connection or died, at the first failure since its last answer. */
	failedAtMs: number;
	avoidedUntilMs: number;
	/** Number of times in a row that it refused a connection or died. */
	failures: number;
};

/** Limits that the views depend on. */
export type InstanceLimits = {
	readonly slotsPerInstance: number;
	/** How long an instance stays a home instance after its first failure. */
	readonly holdMs: number;
};

/** Result of an attempt as far as its instance is concerned. */
export type FinishedAttempt = {
	readonly end: AttemptEnd;
	/** Time that the instance took for the request. */
	readonly latencyMs: number;
};

/** Load of the instances of a service. */
export type InstanceLoads = {
	/** Replaces the candidates. The state of a removed instance is dropped once it has no requests in flight. */
	readonly setCandidates: (candidates: readonly Candidate[]) => void;
	readonly start: (permit: Permit) => void;
	/** Ends an attempt and records its result. */
	readonly finish: (permit: Permit, finished: FinishedAttempt, nowMs: number) => void;
	readonly views: (limits: InstanceLimits, nowMs: number) => readonly InstanceView[];
	/** Sum of the slots of the usable instances, scaled by their weight. */
	readonly usableSlots: (slotsPerInstance: number, nowMs: number) => number;
	/** Requests in flight at the usable instances; requests that hang at other instances take none of these slots. */
	readonly usableInFlight: (nowMs: number) => number;
	/** True when any instance accepts requests. */
	readonly hasEligible: () => boolean;
};

const createInstanceState = ({instanceId, weight}: Candidate): InstanceState => ({
	instanceId,
	idHash: hashText(instanceId),
	latency: createPeakLatency(),
	weight,
	inFlight: 0,
	suspectsInFlight: 0,
	slotFactor: 1,
	failedAtMs: Number.NEGATIVE_INFINITY,
	avoidedUntilMs: Number.NEGATIVE_INFINITY,
	failures: 0,
});

const slotsOf = (state: InstanceState, slotsPerInstance: number): number =>
	state.weight * state.slotFactor * slotsPerInstance;

const isUsable = (state: InstanceState, nowMs: number): boolean => state.weight > 0 && nowMs >= state.avoidedUntilMs;

const costOf = (state: InstanceState, nowMs: number): number => {
	const latencyMs = state.latency.valueMs(nowMs) ?? unknownLatencyMs;
	return (state.inFlight + 1) * Math.max(latencyMs, unknownLatencyMs) / (state.weight * state.slotFactor);
};

const toView = (state: InstanceState, limits: InstanceLimits, nowMs: number): InstanceView => ({
	instanceId: state.instanceId,
	idHash: state.idHash,
	isEligible: isUsable(state, nowMs),
	isHeld: nowMs < state.failedAtMs + limits.holdMs,
	hasRoom: state.inFlight < Math.max(1, Math.round(slotsOf(state, limits.slotsPerInstance))),
	hasSuspect: state.suspectsInFlight > 0,
	cost: costOf(state, nowMs),
});

/** Avoids an instance for a while; only at the first failure in a row does it stay a home instance for `holdMs`. */
const avoid = (state: InstanceState, nowMs: number): void => {
	if (nowMs < state.avoidedUntilMs) {
		return;
	}

	if (state.failures === 0) {
		state.failedAtMs = nowMs;
	}

	state.avoidedUntilMs = nowMs + Math.min(maxAvoidMs, minAvoidMs * (2 ** state.failures));
	state.failures++;
};

const applyResult = (state: InstanceState, {end, latencyMs}: FinishedAttempt, nowMs: number): void => {
	switch (end) {
		case 'answered': {
			state.latency.observe(latencyMs, nowMs);
			state.slotFactor = Math.min(1, state.slotFactor + slotFactorStep);
			state.failures = 0;
			state.avoidedUntilMs = nowMs;
			break;
		}

		case 'timed-out': {
			state.latency.observe(latencyMs, nowMs);
			break;
		}

		case 'shed': {
			state.slotFactor *= shedSlotDecrease;
			break;
		}

		case 'connect-failed':
		case 'died': {
			avoid(state, nowMs);
			break;
		}

		case 'abandoned': {
			break;
		}
	}
};

/** Creates the load tracking for the instances of one service. */
export const createInstanceLoads = (): InstanceLoads => {
	const states = new Map<string, InstanceState>();
	const candidateIds = new Set<string>();

	const removeIfUnused = (state: InstanceState): void => {
		if (state.inFlight === 0 && !candidateIds.has(state.instanceId)) {
			states.delete(state.instanceId);
		}
	};

	return {
		setCandidates(candidates) {
			candidateIds.clear();
			for (const candidate of candidates) {
				candidateIds.add(candidate.instanceId);
				const known = states.get(candidate.instanceId);
				if (known === undefined) {
					states.set(candidate.instanceId, createInstanceState(candidate));
				} else {
					known.weight = candidate.weight;
				}
			}

			for (const state of states.values()) {
				state.weight = candidateIds.has(state.instanceId) ? state.weight : 0;
				removeIfUnused(state);
			}
		},
		start(permit) {
			const state = states.get(permit.instanceId);
			if (state === undefined) {
				return;
			}

			state.inFlight++;
			state.suspectsInFlight += permit.isSuspect ? 1 : 0;
		},
		finish(permit, finished, nowMs) {
			const state = states.get(permit.instanceId);
			if (state === undefined) {
				return;
			}

			state.inFlight--;
			state.suspectsInFlight -= permit.isSuspect ? 1 : 0;
			applyResult(state, finished, nowMs);
			removeIfUnused(state);
		},
		views(limits, nowMs) {
			const views = Array.from(states.values(), state => toView(state, limits, nowMs));
			if (views.some(view => view.isEligible || view.isHeld)) {
				return views;
			}

			// While every instance is avoided, trying one is better than refusing the request.
			return views.map(view => ({...view, isEligible: (states.get(view.instanceId)?.weight ?? 0) > 0}));
		},
		usableSlots(slotsPerInstance, nowMs) {
			let slots = 0;
			for (const state of states.values()) {
				slots += isUsable(state, nowMs) ? slotsOf(state, slotsPerInstance) : 0;
			}

			return slots;
		},
		usableInFlight(nowMs) {
			let inFlight = 0;
			for (const state of states.values()) {
				inFlight += isUsable(state, nowMs) ? state.inFlight : 0;
			}

			return inFlight;
		},
		hasEligible: () => [...states.values()].some(state => state.weight > 0),
	};
};
