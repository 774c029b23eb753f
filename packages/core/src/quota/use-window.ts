/**
 * Counts what a gateway admitted within a sliding window, in buckets.
 *
 * Answers a steady load near its limit: the window slides with the load, so that no new period begins with a wave.
 */

import {bucketsPerWindow, recentShare} from './constants.ts';

/** Number of events in a sliding window. */
export type UseWindow = {
	readonly add: (nowMs: number) => void;
	/** Takes an event of `atMs` back, if it is still in the window. */
	readonly remove: (atMs: number, nowMs: number) => void;
	/** Events within the window, and at most a bucket longer. */
	readonly count: (nowMs: number) => number;
	/** Events within the last tenth of the window, and at most a bucket longer. */
	readonly recentCount: (nowMs: number) => number;
	/** Events that leave the window within `leadMs`. */
	readonly leaving: (leadMs: number, nowMs: number) => number;
};

const recentBuckets = Math.ceil(bucketsPerWindow * recentShare);

/** The bucket that is being filled, and a whole window before it. */
const ringSize = bucketsPerWindow + 1;

/** Creates an empty window. */
export const createUseWindow = (windowMs: number): UseWindow => {
	const bucketMs = windowMs / bucketsPerWindow;
	const counts = new Uint32Array(ringSize);
	let newest = Number.NEGATIVE_INFINITY;
	let total = 0;

	const slotOf = (bucket: number): number => ((bucket % ringSize) + ringSize) % ringSize;

	const advance = (nowMs: number): void => {
		const bucket = Math.floor(nowMs / bucketMs);
		if (bucket <= newest) {
			return;
		}

		const first = Math.max(newest + 1, bucket - bucketsPerWindow);
		for (let passed = first; passed <= bucket; passed++) {
			const slot = slotOf(passed);
			total -= counts[slot]!;
			counts[slot] = 0;
		}

		newest = bucket;
	};

	const sumOf = (first: number, last: number): number => {
		let sum = 0;
		for (let bucket = first; bucket <= last; bucket++) {
			sum += counts[slotOf(bucket)]!;
		}

		return sum;
	};

	return {
		add(nowMs) {
			advance(nowMs);
			counts[slotOf(newest)]!++;
			total++;
		},
		remove(atMs, nowMs) {
			advance(nowMs);
			const bucket = Math.floor(atMs / bucketMs);
			if (bucket >= newest - bucketsPerWindow && bucket <= newest && counts[slotOf(bucket)]! > 0) {
				counts[slotOf(bucket)]!--;
				total--;
			}
		},
		count(nowMs) {
			advance(nowMs);
			return total;
		},
		recentCount(nowMs) {
			advance(nowMs);
			return sumOf(newest - recentBuckets + 1, newest);
		},
		leaving(leadMs, nowMs) {
			advance(nowMs);
			const oldest = newest - bucketsPerWindow;
			const passed = Math.min(ringSize, Math.floor((nowMs + leadMs) / bucketMs) - newest);
			return sumOf(oldest, oldest + passed - 1);
		},
	};
};
