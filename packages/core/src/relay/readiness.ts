/** Decides when an agent that started empty holds a whole configuration. */

/** Settings of the start. */
export type ReadinessOptions = {
	readonly startPeers: number;
	readonly startWaitMs: number;
	readonly nowMs: number;
};

/** What is known of the service's feed. */
export type FeedState = 'unknown' | 'reading' | 'complete' | 'skipped';

/** Readiness of one agent. */
export type Readiness = {
	readonly noteFeed: (state: FeedState) => void;
	/** A comparison with `peer` ended; `ready` is what the peer says of itself. */
	readonly notePeer: (peer: string, ready: boolean) => void;
	readonly update: (nowMs: number, livePeers: number, recordCount: number) => void;
	readonly hasAnswered: (peer: string) => boolean;
	readonly isReady: () => boolean;
};

/**
 * Creates the readiness of an agent that starts at `nowMs`.
 *
 * A whole configuration comes from a feed read to its end or from a peer that is ready itself. Until `startWaitMs`
 * has passed the agent also waits for the other source and for several peers, so that it takes the highest revision.
 */
export const createReadiness = (options: ReadinessOptions): Readiness => {
	const answered = new Map<string, boolean>();
	let feed: FeedState = 'unknown';
	let isReady = false;

	const hasWhole = (): boolean => feed === 'complete' || [...answered.values()].includes(true);

	const heardAll = (livePeers: number): boolean => {
		const isFeedKnown = feed === 'complete' || feed === 'skipped';
		const wanted = Math.min(options.startPeers, livePeers);
		return isFeedKnown && livePeers > 0 && answered.size >= wanted;
	};

	return {
		noteFeed(state) {
			const isFinal = feed === 'complete';
			feed = isFinal ? feed : state;
		},
		notePeer(peer, ready) {
			if (!isReady) {
				answered.set(peer, ready || (answered.get(peer) ?? false));
			}
		},
		update(nowMs, livePeers, recordCount) {
			if (isReady || !hasWhole() || recordCount === 0) {
				return;
			}

			const waited = nowMs - options.nowMs >= options.startWaitMs;
			isReady = waited || heardAll(livePeers);
		},
		hasAnswered: peer => answered.has(peer),
		isReady: () => isReady,
	};
};
