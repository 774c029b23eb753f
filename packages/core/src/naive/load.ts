/**
 * Naive reference for load balancing, for tests and experiments.
 *
 * Round robin over all instances, no limit of requests in flight, retry on any error.
 */

/** Load balancing that ignores the load of the instances. */
export type NaiveLoad = {
	readonly setInstances: (instanceIds: readonly string[]) => void;
	/** The next instance in turn; undefined without instances. */
	readonly choose: () => string | undefined;
	/** Whether an attempt that failed in any way is followed by another. */
	readonly shouldRetry: (attempts: number, maxAttempts: number) => boolean;
};

/** Creates the naive reference. */
export const createNaiveLoad = (): NaiveLoad => {
	let ids: readonly string[] = [];
	let turn = 0;

	return {
		setInstances(instanceIds) {
			ids = instanceIds;
		},
		choose() {
			const chosen = ids[turn % Math.max(1, ids.length)];
			turn++;
			return chosen;
		},
		shouldRetry: (attempts, maxAttempts) => attempts < maxAttempts,
	};
};
