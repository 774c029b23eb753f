/** How long an ejected instance waits for its first trial: doubled for one that flaps. */

import {firstHoldMs, holdForgetMs, maxHoldMs} from './constants.ts';

/** The holds of one instance. */
export type Hold = {
	/** Length of the next hold; counts the ejection. */
	readonly next: (nowMs: number) => number;
};

/** Creates the holds of an instance that was never ejected. */
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
