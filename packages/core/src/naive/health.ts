/** Naive reference for the ejection of failing instances: consecutive failures, no exchange between entries, no floor. */

/** Settings of the naive ejection. */
export type NaiveHealthConfig = {
	/**
	 * Consecutive failures that eject an instance.
	 * @default 5
	 */
	readonly consecutiveFailures?: number;
	/**
	 * Time until an ejected instance is used again.
	 * @default 30000
	 */
	readonly ejectionMs?: number;
};

/** Naive health of the instances of one service at one entry. */
export type NaiveHealth = {
	readonly observe: (instanceId: string, succeeded: boolean, nowMs: number) => void;
	readonly isEjected: (instanceId: string, nowMs: number) => boolean;
};

/** Creates the naive health of one service. */
export const createNaiveHealth = ({consecutiveFailures = 5, ejectionMs = 30_000}: NaiveHealthConfig = {}): NaiveHealth => {
	const failures = new Map<string, number>();
	const ejectedUntilMs = new Map<string, number>();
	return {
		observe(instanceId, succeeded, nowMs) {
			const inRow = succeeded ? 0 : (failures.get(instanceId) ?? 0) + 1;
			failures.set(instanceId, inRow);
			if (inRow >= consecutiveFailures) {
				ejectedUntilMs.set(instanceId, nowMs + ejectionMs);
				failures.set(instanceId, 0);
			}
		},
		isEjected: (instanceId, nowMs) => nowMs < (ejectedUntilMs.get(instanceId) ?? -Infinity),
	};
};
