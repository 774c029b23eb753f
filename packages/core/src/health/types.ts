/** Observations of instances, reports between entries, and standings. */

/** The outcome of an attempt or a probe, as evidence about the instance. */
export type Observation
	= | {readonly kind: 'succeeded'; readonly latencyMs: number}
	/** An error answer, a connection reset, a truncated answer or a timeout. */
		| {readonly kind: 'failed'; readonly startedAtMs: number}
		| {readonly kind: 'connect-failed'; readonly startedAtMs: number}
	/** No data moved for longer than is typical of the service's other requests. */
		| {readonly kind: 'stalled'; readonly startedAtMs: number}
		| {readonly kind: 'probe-succeeded'}
		| {readonly kind: 'probe-failed'}
	/** Shed by the instance, cancelled by the caller, or refused before it was sent. */
		| {readonly kind: 'neutral'};

/** Evidence of one entry about one instance. Counts never decrease within an incarnation of the entry. */
export type InstanceEvidence = {
	readonly instanceId: string;
	readonly succeeded: number;
	readonly failed: number;
	/** Age of the last success when the report was made; absent without a recent success. */
	readonly successAgeMs?: number;
	/** Number of the instance's last outage; 0 if there was none. */
	readonly spell: number;
	/** True once that outage has ended. */
	readonly spellEnded: boolean;
	/** True while the entry ejects the instance or is about to eject it. */
	readonly claimed: boolean;
	/** Age of the first failure that led to the outage; present during the outage. */
	readonly riseAgeMs?: number;
	/** Sequence of the host list at the last signal that the instance is leaving; absent if there was none. */
	readonly leavingSequence?: number;
};

/** The round of the last report received from a peer. */
export type HeardRound = {
	readonly entryId: string;
	readonly incarnation: number;
	readonly round: number;
};

/** A report of one entry to the other entries of a service. */
export type EvidenceReport = {
	readonly service: string;
	readonly entryId: string;
	readonly incarnation: number;
	/** Increases with each report of this incarnation. */
	readonly round: number;
	/** Last rounds received by this entry; gives the receiver an upper bound of the age of this report. */
	readonly heard: readonly HeardRound[];
	/** True if the report contains every instance with evidence, not only those whose evidence changed recently. */
	readonly whole: boolean;
	readonly instances: readonly InstanceEvidence[];
};

/** How an entry uses an instance. */
export type Standing
	/** Used, with a weight that is below 1 during slow start. */
	= | {readonly kind: 'use'; readonly weight: number}
	/** Failing, but kept for the floor: used only when no other instance has capacity. */
		| {readonly kind: 'spared'}
	/** Failing for this entry only. */
		| {readonly kind: 'avoided'}
	/** Failing for every entry that reaches the service. */
		| {readonly kind: 'ejected'}
	/** Gets no new requests, whatever its health. */
		| {readonly kind: 'leaving'};

/** Explains the standing of an instance to operators. */
export type Explanation = {
	readonly instanceId: string;
	readonly standing: Standing;
	/** Score from all entries, and from this entry alone. */
	readonly score: number;
	readonly localScore: number;
	readonly threshold: number;
	/** Median score of the service; the threshold applies to the score's excess over it. */
	readonly medianScore: number;
	/** Entries whose observations since the score rose above zero indicate a failing instance. */
	readonly failingAt: readonly string[];
	readonly listedCount: number;
	readonly provenCount: number;
	readonly floorCount: number;
	readonly holdUntilMs?: number;
	readonly reason: string;
};

/** A change of standing, for logs and metrics. */
export type HealthEvent = {
	readonly instanceId: string;
	readonly from: Standing['kind'];
	readonly to: Standing['kind'];
	readonly atMs: number;
	/** During an outage: time since the first failure that led to it. */
	readonly sinceFirstFailureMs?: number;
};
