/** The plain reference for membership: one unanswered direct probe and the host counts as lost. */

import type {Random} from '../random.ts';

/** A fleet whose agents probe one random other host a period, without helpers, confirmation or local health. */
export type NaiveFleet = {
	/** Runs one probe of `prober`; `answered` tells whether the target answered in time. */
	readonly probe: (prober: number, answered: (target: number) => boolean) => void;
	/** Pairs of agent and live host that the agent wrongly counts as lost, summed over all probes. */
	readonly falseRemovals: () => number;
};

/** Creates a fleet of `count` live hosts. */
export const createNaiveFleet = (count: number, random: Random): NaiveFleet => {
	let falseRemovals = 0;
	return {
		probe(prober, answered) {
			const target = (prober + 1 + Math.floor(random.next() * (count - 1))) % count;
			falseRemovals += answered(target) ? 0 : 1;
		},
		falseRemovals: () => falseRemovals,
	};
};
