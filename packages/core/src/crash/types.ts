/** Reports about crashing requests that entries exchange. */

/** Reports that an instance crashed while a request was in flight there. */
export type CrashReport = {
	readonly service: string;
	readonly fingerprint: string;
	readonly instanceId: string;
	/** Time since the crash when the report was sent. */
	readonly ageMs: number;
};
