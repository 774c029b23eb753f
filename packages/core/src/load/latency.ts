/** Exponential moving averages of latencies, with weights by the time since the previous observation. */

import {idleLatencyDecayMs, latencyDecayMs} from './constants.ts';

/** Moving average of a latency. */
export type LatencyAverage = {
	/** Adds an observed latency. */
	readonly observe: (latencyMs: number, nowMs: number) => void;
	/** The average in milliseconds, which decays while nothing is observed; undefined before the first observation. */
	readonly valueMs: (nowMs: number) => number | undefined;
};

const createAverage = (resetFactor: number): LatencyAverage => {
	let averageMs: number | undefined;
	let observedAtMs = 0;

	return {
		observe(latencyMs, nowMs) {
			const elapsedMs = Math.max(1, nowMs - observedAtMs);
			observedAtMs = nowMs;
			if (averageMs === undefined || latencyMs > averageMs * resetFactor) {
				averageMs = Math.max(0, latencyMs);
				return;
			}

			const kept = Math.exp(-elapsedMs / latencyDecayMs);
			averageMs = (averageMs * kept) + (Math.max(0, latencyMs) * (1 - kept));
		},
		valueMs: nowMs => averageMs === undefined
			? undefined
			: averageMs * Math.exp(-Math.max(0, nowMs - observedAtMs) / idleLatencyDecayMs),
	};
};

/** Creates an average that weighs rises and falls alike. */
export const createLatencyAverage = (): LatencyAverage => createAverage(Number.POSITIVE_INFINITY);

const peakResetFactor = 2;

/** Creates an average that jumps to a much slower answer at once and decays afterwards. */
export const createPeakLatency = (): LatencyAverage => createAverage(peakResetFactor);
