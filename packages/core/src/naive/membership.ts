/** Naive reference for membership: a single unanswered direct probe makes a host count as lost. */

import type {Random} from '../random.ts';

/** A fleet whose agents probe one random other host per period, without indirect probes, suspicion or local health. */
export type NaiveFleet = {
	/** Runs one probe by `prober`; `answered` returns whether the target answered in time. */
	readonly probe: (prober: number, answered: (target: number) => boolean) => void;
	/** Number of probes after which an agent wrongly counts a live host as lost. */
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
