/** What entries tell each other about crashing requests. */

/** An instance died while a request ran there. */
export type CrashReport = {
	readonly service: string;
	readonly fingerprint: string;
	readonly instanceId: string;
	/** Time since the crash when the report was sent. */
	readonly ageMs: number;
};
