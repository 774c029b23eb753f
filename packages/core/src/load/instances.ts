/** What an entry knows of the load of each instance of a service. */

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
	/** Part of its slots that an instance gets work for, lowered when it sheds. */
	slotFactor: number;
	/** When it refused a connection or died after it had answered. */
	failedAtMs: number;
	avoidedUntilMs: number;
	/** Times in a row that it refused a connection or died. */
	failures: number;
};

/** What the views follow from besides the state. */
export type InstanceLimits = {
	readonly slotsPerInstance: number;
	/** How long an instance keeps its place among the homes after it failed. */
	readonly holdMs: number;
};

/** What an attempt says about its instance. */
export type FinishedAttempt = {
	readonly end: AttemptEnd;
	/** Time that the instance took. */
	readonly latencyMs: number;
};

/** Load of the instances of a service. */
export type InstanceLoads = {
	/** Replaces the candidates; instances that left keep no state once nothing is in flight there. */
	readonly setCandidates: (candidates: readonly Candidate[]) => void;
	readonly start: (permit: Permit) => void;
	/** Ends an attempt and learns from it. */
	readonly finish: (permit: Permit, finished: FinishedAttempt, nowMs: number) => void;
	readonly views: (limits: InstanceLimits, nowMs: number) => readonly InstanceView[];
	/** Slots of the instances that take requests, by their weight. */
	readonly usableSlots: (slotsPerInstance: number, nowMs: number) => number;
	/** Requests in flight on the instances whose slots are usable; one that hangs elsewhere takes no slot of theirs. */
	readonly usableInFlight: (nowMs: number) => number;
	/** Whether any instance takes requests. */
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

/** Avoids an instance for a while; it keeps its place among the homes only at the first failure. */
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

const learn = (state: InstanceState, {end, latencyMs}: FinishedAttempt, nowMs: number): void => {
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

/** Creates the load of the instances of one service. */
export const createInstanceLoads = (): InstanceLoads => {
	const states = new Map<string, InstanceState>();
	const candidateIds = new Set<string>();

	const dropIfGone = (state: InstanceState): void => {
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
				dropIfGone(state);
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
			learn(state, finished, nowMs);
			dropIfGone(state);
		},
		views(limits, nowMs) {
			const views = Array.from(states.values(), state => toView(state, limits, nowMs));
			if (views.some(view => view.isEligible || view.isHeld)) {
				return views;
			}

			// With every instance avoided, trying one is better than refusing.
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
