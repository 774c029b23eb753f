/** Faults of the platform stand-in and its counts. */

/** Fault of the platform as its readers see it. */
export type PlatformFault
	= | {readonly type: 'ok'}
		/** Connections are refused. */
		| {readonly type: 'down'}
		/** Connections are accepted and requests never answered. */
		| {readonly type: 'hang'}
		/** Records and hosts are served as of `position` and `sequence`; the newest when the value is absent. */
		| {readonly type: 'stale'; readonly position?: number | undefined; readonly sequence?: number | undefined}
		| {readonly type: 'slow'; readonly delayMs: number};

/** Reads counted since the start; a long poll counts as one. */
export type ReadCounts = {
	readonly recordReads: number;
	readonly hostReads: number;
	readonly refusedReads: number;
	/** Highest number of reads in one window of a second, refused ones included. */
	readonly peakReadsPerSecond: number;
};
