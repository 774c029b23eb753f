/** Types of the exchange of configuration between agents. */

/** A message about configuration from one agent to another. */
export type ConfigMessage
	/** Records that changed a moment ago. */
	= | {readonly type: 'config-push'; readonly texts: readonly string[]}
	/** Starts a comparison. */
		| {readonly type: 'config-root'; readonly root: number; readonly size: number; readonly ready: boolean}
	/** The states are equal. */
		| {readonly type: 'config-same'; readonly ready: boolean}
	/** Digests of all groups, from an agent whose root digest differs. */
		| {readonly type: 'config-groups'; readonly digests: readonly number[]}
	/** Digests of the buckets of each group that differs. */
		| {
			readonly type: 'config-buckets';
			readonly groups: ReadonlyArray<{readonly group: number; readonly digests: readonly number[]}>;
		}
	/** All records of the buckets that differ, and the buckets wanted in return. */
		| {
			readonly type: 'config-records';
			readonly texts: readonly string[];
			readonly wanted: readonly number[];
			/** True on the last message of the exchange in this direction. */
			readonly last: boolean;
			/** Whether the sender holds a whole configuration. */
			readonly ready: boolean;
		};

/** A message to be sent. */
export type ConfigSend = {
	readonly to: string;
	readonly message: ConfigMessage;
};
