/** Types of the synchronisation of configuration between agents. */

/** A message about configuration from one agent to another. */
export type ConfigMessage
	/** Records that have just changed. */
	= | {readonly type: 'config-push'; readonly texts: readonly string[]}
	/** Starts a comparison with the root digest and number of records of the sender. */
		| {readonly type: 'config-root'; readonly root: number; readonly size: number; readonly ready: boolean}
	/** The states are equal. */
		| {readonly type: 'config-same'; readonly ready: boolean}
	/** Digests of all groups; the answer to a `config-root` that differs. */
		| {readonly type: 'config-groups'; readonly digests: readonly number[]}
	/** Digests of the buckets of each group that differs. */
		| {
			readonly type: 'config-buckets';
			readonly groups: ReadonlyArray<{readonly group: number; readonly digests: readonly number[]}>;
		}
	/** Records of the buckets that differ, and the buckets whose records are wanted in return. */
		| {
			readonly type: 'config-records';
			readonly texts: readonly string[];
			readonly wanted: readonly number[];
			/** True on the last message of the exchange in this direction. */
			readonly last: boolean;
			/** True when the sender holds a complete configuration. */
			readonly ready: boolean;
		};

/** A message to be sent. */
export type ConfigSend = {
	readonly to: string;
	readonly message: ConfigMessage;
};
