/** Types of the load generator's input and results. */

/** One phase of open-loop load. */
export type LoadPlan = {
	/** Base URLs, used in round-robin order. */
	readonly targets: readonly [string, ...string[]];
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Load is sent for this long before anything is recorded. */
	readonly warmUpMs: number;
	readonly timeoutMs: number;
	readonly seed: number;
	/** Number of distinct workspaces that requests carry. */
	readonly workspaces: number;
};

/** Quantiles of latency, measured from the scheduled send time. */
export type LatencyQuantiles = {
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** Results of one phase. */
export type LoadResult = LatencyQuantiles & {
	readonly sent: number;
	/** Answers below status 400. */
	readonly answered: number;
	/** Refusals and failures by kind. */
	readonly failures: Readonly<Record<string, number>>;
	/** 99th percentile of the delay between the scheduled and the actual send time. */
	readonly lagP99Ms: number;
	/** True when the generator fell behind its schedule; the results of the phase are then invalid. */
	readonly generatorBehind: boolean;
};
