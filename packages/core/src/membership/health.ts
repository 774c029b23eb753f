/** Local health: how likely a failed probe is the fault of this process instead of the peer. */

/** Score of a process in the worst health; 0 is healthy. */
const maxScore = 4;

/** Health of this process. */
export type LocalHealth = {
	/** A peer answered in time. */
	readonly recordSuccess: () => void;
	/** A probe failed, and neither the target nor any helper answered. */
	readonly recordFailure: () => void;
	/** This process was paused. */
	readonly recordPause: () => void;
	/** Multiplier for timeouts: 1 when healthy, up to 3. */
	readonly timeoutFactor: () => number;
};

/** Creates the health of a process that starts healthy. */
export const createLocalHealth = (): LocalHealth => {
	let score = 0;
	return {
		recordSuccess() {
			score = Math.max(0, score - 1);
		},
		recordFailure() {
			score = Math.min(maxScore, score + 1);
		},
		recordPause() {
			score = maxScore;
		},
		timeoutFactor: () => 1 + (score / 2),
	};
};
