/** The answer to "which addresses should I use?". */

/** One entry host that a caller may connect to. */
export type LocatedEntry = {
	readonly hostId: string;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: string;
	readonly incarnation: number;
};

/** What an idempotency key of a caller begins with. */
export type LocatedKey = {
	/** The entry host that runs requests with these keys; requests sent elsewhere are passed on to it. */
	readonly hostId: string;
	/** The caller appends a part that is unique among its own requests. */
	readonly prefix: string;
	/** How long the keys are good, from the moment of the answer. */
	readonly lifetimeMs: number;
};

/** Entry hosts in the order in which a caller should try them. */
export type LocateAnswer = {
	readonly service: string;
	readonly entries: readonly LocatedEntry[];
	/** How long the answer may be kept. */
	readonly keepMs: number;
	/** Absent while the entry of the answering host is not connected. */
	readonly key?: LocatedKey;
};
