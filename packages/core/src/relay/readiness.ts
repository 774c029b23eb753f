/** Decides when an agent that started without configuration holds a complete one. */

/** Settings and start time of an agent. */
export type ReadinessOptions = {
	/** Peers to compare with before the agent is ready. */
	readonly startPeers: number;
	/** Time since the start from which a complete configuration is enough, without further peers or the feed. */
	readonly startWaitMs: number;
	readonly nowMs: number;
};

/** How far the feed was read; `skipped` when the service did not answer or this agent leaves reading it to the relays. */
export type FeedState = 'unknown' | 'reading' | 'complete' | 'skipped';

/** Readiness of one agent. */
export type Readiness = {
	readonly recordFeed: (state: FeedState) => void;
	/** Records the end of a comparison with `peer`, which reported itself as `ready` or not. */
	readonly recordPeer: (peer: string, ready: boolean) => void;
	readonly update: (nowMs: number, livePeers: number, recordCount: number) => void;
	readonly hasAnswered: (peer: string) => boolean;
	readonly isReady: () => boolean;
};

/**
 * Creates the readiness of an agent that starts at `nowMs`.
 *
 * A complete configuration comes from a feed that was read to its end or from a peer that is itself ready. Until
 * `startWaitMs` has passed, the agent also waits for the other source and for several peers, to get the highest revisions.
 */
export const createReadiness = (options: ReadinessOptions): Readiness => {
	const answered = new Map<string, boolean>();
	let feed: FeedState = 'unknown';
	let isReady = false;

	const hasCompleteSource = (): boolean => feed === 'complete' || [...answered.values()].includes(true);

	const hasHeardAllSources = (livePeers: number): boolean => {
		const isFeedKnown = feed === 'complete' || feed === 'skipped';
		const requiredPeers = Math.min(options.startPeers, livePeers);
		return isFeedKnown && livePeers > 0 && answered.size >= requiredPeers;
	};

	return {
		recordFeed(state) {
			const isFinal = feed === 'complete';
			feed = isFinal ? feed : state;
		},
		recordPeer(peer, ready) {
			if (!isReady) {
				answered.set(peer, ready || (answered.get(peer) ?? false));
			}
		},
		update(nowMs, livePeers, recordCount) {
			if (isReady || !hasCompleteSource() || recordCount === 0) {
				return;
			}

			const hasWaited = nowMs - options.nowMs >= options.startWaitMs;
			isReady = hasWaited || hasHeardAllSources(livePeers);
		},
		hasAnswered: peer => answered.has(peer),
		isReady: () => isReady,
	};
};
