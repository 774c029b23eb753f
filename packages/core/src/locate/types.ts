/** Types of the locate answer, which tells a caller the addresses to use. */

/** An entry host that a caller may connect to. */
export type LocatedEntry = {
	readonly hostId: string;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: string;
	readonly incarnation: number;
};

/** The prefix for idempotency keys of a caller. */
export type LocatedKey = {
	/** The entry host that handles requests with these keys; other entries forward such requests to it. */
	readonly hostId: string;
	/** The caller appends a suffix that is unique among its own requests. */
	readonly prefix: string;
	/** How long the keys are valid, from the time of the answer. */
	readonly lifetimeMs: number;
};

/** The entry hosts for a service, in the order in which the caller should try them. */
export type LocateAnswer = {
	readonly service: string;
	readonly entries: readonly LocatedEntry[];
	/** How long the caller may cache the answer. */
	readonly keepMs: number;
	/** Absent while the entry process of the answering host is not connected to its agent. */
	readonly key?: LocatedKey;
};
