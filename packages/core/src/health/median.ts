/** Medians and a sliding window of latencies. */

import {latencySamples} from './constants.ts';

/** Upper median of `values`; 0 if there are none. */
export const median = (values: readonly number[]): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/** Lower median of `values`; 0 if there are none. */
export const lowerMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
};

/** The most recent latencies of a service. */
export type LatencyWindow = {
	readonly add: (latencyMs: number) => void;
	readonly medianMs: () => number;
};

/** Creates an empty window. */
export const createLatencyWindow = (): LatencyWindow => {
	const samples: number[] = [];
	let next = 0;
	return {
		add(latencyMs) {
			samples[next] = latencyMs;
			next = (next + 1) % latencySamples;
		},
		medianMs: () => median(samples),
	};
};
