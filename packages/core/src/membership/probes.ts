/** Probes in flight, the own ones and those made for others. */

import {directTimeoutMs, helperTimeoutMs, probeTimeoutMs} from './constants.ts';

/** A probe of this agent. */
export type Probe = {
	readonly sequence: number;
	readonly target: string;
	readonly sentMs: number;
	indirect: boolean;
	/** A helper answered that it could not reach the target either. */
	nacked: boolean;
};

/** A probe made for another agent. */
export type HelpedProbe = {
	readonly requester: string;
	readonly requestSequence: number;
	readonly target: string;
	readonly sentMs: number;
};

/** Probes that are due for their next step. */
export type DueProbes = {
	readonly toAskHelpers: readonly Probe[];
	readonly failed: readonly Probe[];
	readonly unhelped: readonly HelpedProbe[];
};

/** Probes in flight. */
export type Probes = {
	readonly start: (target: string, nowMs: number) => Probe;
	readonly startForOther: (request: Omit<HelpedProbe, 'sentMs'>, nowMs: number) => number;
	/** Ends a probe of this agent by its answer; undefined when none waits for it. */
	readonly finish: (sequence: number, target: string) => Probe | undefined;
	readonly finishHelped: (sequence: number) => HelpedProbe | undefined;
	readonly noteNack: (sequence: number) => void;
	readonly isProbing: (target: string) => boolean;
	/** Collects what is due and forgets what has failed. `factor` stretches the own time-outs. */
	readonly due: (nowMs: number, factor: number) => DueProbes;
	readonly clear: () => void;
};

/** Creates an empty set of probes. */
export const createProbes = (): Probes => {
	const own = new Map<number, Probe>();
	const helped = new Map<number, HelpedProbe>();
	let lastSequence = 0;

	const dueHelped = (nowMs: number): readonly HelpedProbe[] => {
		const late = [...helped].filter(([, probe]) => nowMs - probe.sentMs >= helperTimeoutMs);
		for (const [sequence] of late) {
			helped.delete(sequence);
		}

		return late.map(([, probe]) => probe);
	};

	return {
		start(target, nowMs) {
			const probe = {
				sequence: ++lastSequence, target, sentMs: nowMs, indirect: false, nacked: false,
			};
			own.set(probe.sequence, probe);
			return probe;
		},
		startForOther(request, nowMs) {
			helped.set(++lastSequence, {...request, sentMs: nowMs});
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
		finishHelped(sequence) {
			const probe = helped.get(sequence);
			helped.delete(sequence);
			return probe;
		},
		noteNack(sequence) {
			const probe = own.get(sequence);
			if (probe !== undefined) {
				probe.nacked = true;
			}
		},
		isProbing: target => [...own.values()].some(probe => probe.target === target),
		due(nowMs, factor) {
			const probes = [...own.values()];
			const failed = probes.filter(probe => nowMs - probe.sentMs >= probeTimeoutMs * factor);
			for (const {sequence} of failed) {
				own.delete(sequence);
			}

			const toAskHelpers = probes.filter(probe => !probe.indirect && own.has(probe.sequence) && nowMs - probe.sentMs >= directTimeoutMs * factor);
			return {toAskHelpers, failed, unhelped: dueHelped(nowMs)};
		},
		clear() {
			own.clear();
			helped.clear();
		},
	};
};
