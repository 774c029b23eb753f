/**
 * Quantiles of the latencies of a service in a sliding window, from the histogram of Node.js (HDR, two significant digits).
 *
 * Two histograms take turns: the older one is dropped when the newer one has filled half of the window, so that a quantile covers
 * between half of the window and all of it.
 */

import {createHistogram, type RecordableHistogram} from 'node:perf_hooks';

/** Longest latency that is told apart from others, in milliseconds. */
const maxLatencyMs = 3_600_000;

const percent = 100;

/** Quantile of the latencies in the window. */
export type LatencyQuantile = {
	readonly latencyMs: number;
	/** Number of latencies that it is taken from. */
	readonly samples: number;
	/** Age of the oldest of them. */
	readonly ageMs: number;
};

/** Latencies of one service. */
export type LatencyWindow = {
	readonly record: (latencyMs: number, nowMs: number) => void;
	/** The quantile `share`, from 0 to 1; undefined while the window has no latency. */
	readonly quantile: (share: number, nowMs: number) => LatencyQuantile | undefined;
};

type Generation = {
	readonly histogram: RecordableHistogram;
	readonly sinceMs: number;
};

const createEmpty = (): RecordableHistogram => createHistogram({lowest: 1, highest: maxLatencyMs, figures: 2});

/** Creates an empty window. */
export const createLatencyWindow = (windowMs: number): LatencyWindow => {
	let newer: Generation | undefined;
	let older: Generation | undefined;

	const turn = (nowMs: number): Generation => {
		if (newer !== undefined && nowMs - newer.sinceMs < windowMs / 2) {
			return newer;
		}

		older = newer !== undefined && nowMs - newer.sinceMs < windowMs ? newer : undefined;
		newer = {histogram: createEmpty(), sinceMs: nowMs};
		return newer;
	};

	return {
		record(latencyMs, nowMs) {
			turn(nowMs).histogram.record(Math.min(maxLatencyMs, Math.max(1, Math.round(latencyMs))));
		},
		quantile(share, nowMs) {
			const current = turn(nowMs);
			const all = createEmpty();
			for (const {histogram} of [current, ...(older === undefined ? [] : [older])]) {
				all.add(histogram);
			}

			const samples = Number(all.count);
			return samples === 0 ? undefined : {latencyMs: all.percentile(share * percent), samples, ageMs: nowMs - (older ?? current).sinceMs};
		},
	};
};
