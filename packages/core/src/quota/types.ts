/** Types of quotas. */

/** How strictly quotas have to hold over all gateways. */
export type QuotaLimits = {
	/** Time over which requests are counted, in milliseconds. */
	readonly windowMs: number;
	/** Share of the limit that may be admitted beyond it. */
	readonly overageShare: number;
	/** Requests that may be admitted beyond that share. */
	readonly slack: number;
};

/** The fleet as a gateway knows it. */
export type QuotaFleet = {
	/** Peers that callers are sent to, or were lately. */
	readonly placedPeerIds: readonly string[];
	/** Whether callers are sent to this gateway, or were lately. */
	readonly isPlaced: boolean;
	/** Gateways that callers may be sent to although this gateway does not know them yet, because it has just started. */
	readonly unknownPeers: number;
	/** Share of the known gateways that is reachable; those that ended in order don't count. Above 0, at most 1. */
	readonly reachShare: number;
};

/**
 * Use of a workspace at one gateway: requests admitted within the window, requests among them that are recent, whether the gateway needs
 * to hear from its peers, requests that restarted gateways admitted in earlier runs, and the time until the last of these has left the window.
 */
export type QuotaRow = readonly [workspace: string, count: number, recentCount: number, isAsking: boolean, formerCount: number, formerLeftMs: number];

/** Report of a gateway on the use of workspaces. */
export type QuotaReport = {
	/** For how long the sender has run, in milliseconds; at most a window. */
	readonly upMs: number;
	/** For how long callers have been sent to the sender, so that it was told of use by others, in milliseconds; at most a window. */
	readonly memoryMs: number;
	readonly rows: readonly QuotaRow[];
	/** Gateways that report to the sender although callers are not sent to them, at most `maxStrays`: they have to hear of each other. */
	readonly strayIds: readonly string[];
};

/** A report and who should receive it. */
export type QuotaSend = {
	readonly to: readonly string[];
	readonly report: QuotaReport;
};

/** What a gateway knows of the use of a workspace, in requests within the window. */
export type QuotaUse = {
	/** Requests that this gateway admitted. */
	readonly own: number;
	/** Requests that others admitted, as estimated from their reports. */
	readonly reported: number;
	/** Requests that silent gateways may have admitted. */
	readonly reserved: number;
	/** The workspace's limit. */
	readonly limit: number;
	/** Requests that this gateway may have admitted. */
	readonly allowed: number;
};

/** Decision on a request of a workspace. */
export type QuotaDecision
	= | {readonly type: 'admitted'}
		| {
			readonly type: 'refused';
			/** Time after which the window has room, if nobody else takes it. */
			readonly roomAfterMs: number;
			readonly use: QuotaUse;
		};
