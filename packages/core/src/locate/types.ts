/** The answer to "which addresses should I use?". */

/** One entry host that a caller may connect to. */
export type LocatedEntry = {
	readonly hostId: string;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: string;
	readonly incarnation: number;
};

/** Entry hosts in the order in which a caller should try them. */
export type LocateAnswer = {
	readonly service: string;
	readonly entries: readonly LocatedEntry[];
	/** How long the answer may be kept. */
	readonly keepMs: number;
};
