/** Probes in flight: those of this agent and those it makes on behalf of other agents. */

import {directTimeoutMs, helperTimeoutMs, probeTimeoutMs} from './constants.ts';

/** A probe of this agent. */
export type Probe = {
	readonly sequence: number;
	readonly target: string;
	readonly sentMs: number;
	/** True once helpers were asked to probe the target as well. */
	isIndirect: boolean;
	/** A helper answered that it could not reach the target either. */
	isNacked: boolean;
};

/** A probe made on behalf of another agent, which asked with a ping-request. */
export type DelegatedProbe = {
	readonly requester: string;
	readonly requestSequence: number;
	readonly target: string;
	readonly sentMs: number;
};

/** Probes whose next step is due. */
export type DueProbes = {
	readonly toAskHelpers: readonly Probe[];
	readonly failed: readonly Probe[];
	/** Delegated probes whose target did not answer in time; their requesters get a nack. */
	readonly unansweredDelegated: readonly DelegatedProbe[];
};

/** The probes in flight of one agent. */
export type Probes = {
	readonly start: (target: string, nowMs: number) => Probe;
	/** Starts a probe for another agent and returns its sequence. */
	readonly startDelegated: (request: Omit<DelegatedProbe, 'sentMs'>, nowMs: number) => number;
	/** Removes the probe of this agent that an answer belongs to; undefined when there is none. */
	readonly finish: (sequence: number, target: string) => Probe | undefined;
	readonly finishDelegated: (sequence: number) => DelegatedProbe | undefined;
	readonly recordNack: (sequence: number) => void;
	readonly isProbing: (target: string) => boolean;
	/** Returns the probes that are due and removes the failed ones. `factor` multiplies the timeouts of this agent's probes. */
	readonly due: (nowMs: number, factor: number) => DueProbes;
	readonly clear: () => void;
};

/** Creates an empty set of probes. */
export const createProbes = (): Probes => {
	const own = new Map<number, Probe>();
	const delegated = new Map<number, DelegatedProbe>();
	let lastSequence = 0;

	const takeExpiredDelegated = (nowMs: number): readonly DelegatedProbe[] => {
		const expired = [...delegated].filter(([, probe]) => nowMs - probe.sentMs >= helperTimeoutMs);
		for (const [sequence] of expired) {
			delegated.delete(sequence);
		}

		return expired.map(([, probe]) => probe);
	};

	return {
		start(target, nowMs) {
			const probe = {
				sequence: ++lastSequence, target, sentMs: nowMs, isIndirect: false, isNacked: false,
			};
			own.set(probe.sequence, probe);
			return probe;
		},
		startDelegated(request, nowMs) {
			delegated.set(++lastSequence, {...request, sentMs: nowMs});
			return lastSequence;
		},
		finish(sequence, target) {
			const probe = own.get(sequence);
			if (probe?.target !== target) {
				return undefined;
			}

			own.delete(sequence);
			return probe;
		},
		finishDelegated(sequence) {
			const probe = delegated.get(sequence);
			delegated.delete(sequence);
			return probe;
		},
		recordNack(sequence) {
			const probe = own.get(sequence);
			if (probe !== undefined) {
				probe.isNacked = true;
			}
		},
		isProbing: target => [...own.values()].some(probe => probe.target === target),
		due(nowMs, factor) {
			const probes = [...own.values()];
			const failed = probes.filter(probe => nowMs - probe.sentMs >= probeTimeoutMs * factor);
			for (const {sequence} of failed) {
				own.delete(sequence);
			}

			const toAskHelpers = probes.filter(probe => !probe.isIndirect && own.has(probe.sequence) && nowMs - probe.sentMs >= directTimeoutMs * factor);
			return {toAskHelpers, failed, unansweredDelegated: takeExpiredDelegated(nowMs)};
		},
		clear() {
			own.clear();
			delegated.clear();
		},
	};
};
