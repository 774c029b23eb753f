/** Local health: how far a process should doubt itself before it doubts others. */

/** Highest score. */
const maxScore = 4;

/** Health of the own process. */
export type LocalHealth = {
	/** A peer answered in time. */
	readonly noteSuccess: () => void;
	/** Nobody answered, not even the helpers. */
	readonly noteFailure: () => void;
	/** The process itself was late. */
	readonly noteSleep: () => void;
	/** Factor on time-outs: 1 when healthy, up to 3. */
	readonly factor: () => number;
};

/** Creates the health of a process that starts healthy. */
export const createLocalHealth = (): LocalHealth => {
	let score = 0;
	return {
		noteSuccess() {
			score = Math.max(0, score - 1);
		},
		noteFailure() {
			score = Math.min(maxScore, score + 1);
		},
		noteSleep() {
			score = maxScore;
		},
		factor: () => 1 + (score / 2),
	};
};
