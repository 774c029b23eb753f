/** Observations, reports between entries, and what an entry decides about an instance. */

/** How an attempt or a probe ended, as far as it says something about the instance. */
export type Observation
	= | {readonly kind: 'succeeded'; readonly latencyMs: number}
	/** An error answer, a reset, a cut answer or a time-out. */
		| {readonly kind: 'failed'; readonly startedAtMs: number}
		| {readonly kind: 'connect-failed'; readonly startedAtMs: number}
	/** No byte moved for longer than the service's other requests explain. */
		| {readonly kind: 'stalled'; readonly startedAtMs: number}
		| {readonly kind: 'probe-succeeded'}
		| {readonly kind: 'probe-failed'}
	/** Shed by the instance, cancelled by the caller, or refused before it was sent. */
		| {readonly kind: 'neutral'};

/** What one entry knows about one instance. Counts rise for the life of the entry's incarnation. */
export type InstanceEvidence = {
	readonly instanceId: string;
	readonly succeeded: number;
	readonly failed: number;
	/** Age of the last success when the report was made; absent if there was none lately. */
	readonly successAgeMs?: number;
	/** Number of the last spell of sickness; 0 if there was none. */
	readonly spell: number;
	/** True once that spell has ended. */
	readonly spellEnded: boolean;
	/** True while the entry ejects the instance or is about to. */
	readonly claimed: boolean;
	/** While the spell lasts: age of the first failure that led to it. */
	readonly riseAgeMs?: number;
	/** Sequence of the host list at the last sign that the instance leaves; absent if there was none. */
	readonly leavingSequence?: number;
};

/** The number of the last report heard from a peer. */
export type HeardRound = {
	readonly entryId: string;
	readonly incarnation: number;
	readonly round: number;
};

/** A report of one entry about one service, for the other entries of that service. */
export type EvidenceReport = {
	readonly service: string;
	readonly entryId: string;
	readonly incarnation: number;
	/** Rises with each report of this incarnation. */
	readonly round: number;
	/** What this entry last heard; shows the receiver how old this report can be at most. */
	readonly heard: readonly HeardRound[];
	/** True if it names every instance with evidence, not only those whose evidence changed lately. */
	readonly whole: boolean;
	readonly instances: readonly InstanceEvidence[];
};

/** How an entry uses an instance. */
export type Standing
	/** Used, with a weight that is below 1 during slow start. */
	= | {readonly kind: 'use'; readonly weight: number}
	/** Failing, but kept for the floor: used only when no other instance has room. */
		| {readonly kind: 'spared'}
	/** Cut off from this entry only. */
		| {readonly kind: 'avoided'}
	/** Failing for every entry that reaches the service. */
		| {readonly kind: 'ejected'}
	/** Takes no new work, whatever its health. */
		| {readonly kind: 'leaving'};

/** Why an instance has its standing, for operators. */
export type Explanation = {
	readonly instanceId: string;
	readonly standing: Standing;
	/** Score from all entries, and from this entry alone. */
	readonly score: number;
	readonly localScore: number;
	readonly threshold: number;
	/** Median score of the service; a score counts from here. */
	readonly medianScore: number;
	/** Entries that saw a failure since the score last was zero. */
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
	/** For an ejection: time since the first failure of the score's rise. */
	readonly sinceFirstFailureMs?: number;
};
