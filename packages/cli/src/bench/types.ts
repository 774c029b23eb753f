/** Shapes of the load generator's input and results. */

/** One phase of open-loop load. */
export type LoadPlan = {
	/** Base URLs that requests are spread over in turn. */
	readonly targets: readonly [string, ...string[]];
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Phase is warmed up for this long before anything is recorded. */
	readonly warmUpMs: number;
	readonly timeoutMs: number;
	readonly seed: number;
	/** Requests carry one of this many workspaces. */
	readonly workspaces: number;
};

/** Quantiles of latency, counted from the moment a request was due. */
export type LatencyQuantiles = {
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** What a phase gave. */
export type LoadResult = LatencyQuantiles & {
	readonly sent: number;
	/** Answers below status 400. */
	readonly answered: number;
	/** Refusals and failures by kind. */
	readonly failures: Readonly<Record<string, number>>;
	/** 99th percentile of how late the generator sent. */
	readonly lagP99Ms: number;
	/** True when the generator fell behind, so that nothing follows from the phase. */
	readonly generatorBehind: boolean;
};
