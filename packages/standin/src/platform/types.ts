/** Faults of the platform stand-in and its counts. */

/** How the platform misbehaves towards its readers. */
export type PlatformFault
	= | {readonly type: 'ok'}
		/** Connections are refused. */
		| {readonly type: 'down'}
		/** Connections are taken and requests never answered. */
		| {readonly type: 'hang'}
		/** The feed and the host list are as they were at `position` and `sequence`; the newest where one is absent. */
		| {readonly type: 'stale'; readonly position?: number | undefined; readonly sequence?: number | undefined}
		| {readonly type: 'slow'; readonly delayMs: number};

/** Calls counted since the start; a waiting watch counts as one. */
export type ReadCounts = {
	readonly recordReads: number;
	readonly hostReads: number;
	readonly refusedReads: number;
	/** Most reads seen within one second. */
	readonly peakReadsPerSecond: number;
};
