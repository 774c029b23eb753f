/** Hold time of an ejected instance before its first trial request; doubled for an instance that flaps. */

import {firstHoldMs, holdForgetMs, maxHoldMs} from './constants.ts';

/** Hold times of one instance. */
export type Hold = {
	/** Returns the next hold time in milliseconds and counts the ejection. */
	readonly next: (nowMs: number) => number;
};

/** Creates the hold times of an instance that was never ejected. */
export const createHold = (): Hold => {
	let ejections = 0;
	let lastAtMs = 0;
	return {
		next(nowMs) {
			const forgotten = Math.floor((nowMs - lastAtMs) / holdForgetMs);
			ejections = Math.max(0, ejections - forgotten);
			lastAtMs = nowMs;
			const holdMs = Math.min(maxHoldMs, firstHoldMs * (2 ** ejections));
			ejections++;
			return holdMs;
		},
	};
};
