/** Counts reads and refuses those above the platform's rate limit. */

import type {ReadCounts} from './types.ts';

const msPerSecond = 1000;

/** Rate limiter of reads, with fixed windows of one second. */
export type ReadMeter = {
	/** Counts a read; false when it is above the rate limit. */
	readonly admit: (kind: 'records' | 'hosts', nowMs: number) => boolean;
	readonly counts: () => ReadCounts;
};

export const createReadMeter = (maxReadsPerSecond: number): ReadMeter => {
	let recordReads = 0;
	let hostReads = 0;
	let refusedReads = 0;
	let peakReadsPerSecond = 0;
	let windowStartMs = 0;
	let windowReads = 0;

	return {
		admit(kind, nowMs) {
			if (nowMs - windowStartMs >= msPerSecond) {
				windowStartMs = nowMs;
				windowReads = 0;
			}

			windowReads++;
			peakReadsPerSecond = Math.max(peakReadsPerSecond, windowReads);
			if (windowReads > maxReadsPerSecond) {
				refusedReads++;
				return false;
			}

			if (kind === 'records') {
				recordReads++;
			} else {
				hostReads++;
			}

			return true;
		},
		counts: () => ({
			recordReads, hostReads, refusedReads, peakReadsPerSecond,
		}),
	};
};
