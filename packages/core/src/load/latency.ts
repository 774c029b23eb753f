/** Latency averages that weigh an observation by the time since the one before. */

import {idleLatencyDecayMs, latencyDecayMs} from './constants.ts';

/** Average of a latency. */
export type LatencyAverage = {
	/** Adds an observed latency. */
	readonly observe: (latencyMs: number, nowMs: number) => void;
	/** The average in milliseconds, fading while nothing is observed; undefined before the first observation. */
	readonly valueMs: (nowMs: number) => number | undefined;
};

const createAverage = (jumpFactor: number): LatencyAverage => {
	let averageMs: number | undefined;
	let observedAtMs = 0;

	return {
		observe(latencyMs, nowMs) {
			const elapsedMs = Math.max(1, nowMs - observedAtMs);
			observedAtMs = nowMs;
			if (averageMs === undefined || latencyMs > averageMs * jumpFactor) {
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

/** Creates an average that moves evenly. */
export const createLatencyAverage = (): LatencyAverage => createAverage(Number.POSITIVE_INFINITY);

const peakJumpFactor = 2;

/** Creates an average that follows a much slower answer at once and forgets it with time. */
export const createPeakLatency = (): LatencyAverage => createAverage(peakJumpFactor);
