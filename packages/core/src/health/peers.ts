/** The other entries of a service as seen by one entry, and the freshness of their reports. */

import {proofLifetimeMs, reportLifetimeMs} from './constants.ts';
import type {EvidenceReport, HeardRound, InstanceEvidence} from './types.ts';

/** Counts of one instance as reported by one entry. */
type Counts = {readonly succeeded: number; readonly failed: number};

/** State of one peer entry. */
type Peer = {
	readonly incarnation: number;
	round: number;
	receivedAtMs: number;
	/** Highest round of this entry that the peer has received. */
	heardRound: number;
	/** Lower bound of the time at which the peer's last report was made; undefined before the peer acknowledged a round. */
	madeAfterMs: number | undefined;
	/** Last time at which a count of the peer increased. */
	activeAtMs: number;
	readonly counts: Map<string, Counts>;
	/** True once a full report was received; from then on an instance without counts has had no observations. */
	hasFullReport: boolean;
};

/** New observations of one instance by a peer. */
export type PeerDelta = {
	readonly evidence: InstanceEvidence;
	/** Observations since the peer's previous report; zero when new and old ones can't be distinguished. */
	readonly succeeded: number;
	readonly failed: number;
	/** Lower bound of the time of the peer's last success; undefined if unknown. */
	readonly provenAtMs: number | undefined;
};

/** The peers of one entry for one service. */
export type PeerTable = {
	/** Records that this entry sent `round`. */
	readonly recordSent: (round: number, nowMs: number) => void;
	/** Applies a report; returns nothing if it is outdated, from an old incarnation or of unknown age. */
	readonly receive: (report: EvidenceReport, nowMs: number) => readonly PeerDelta[];
	/** Last round received from each peer. */
	readonly heard: () => readonly HeardRound[];
	readonly isFresh: (entryId: string, nowMs: number) => boolean;
	/** Peers with a recent report that acknowledges a round of this entry. */
	readonly freshPeerIds: (nowMs: number) => readonly string[];
	/** Fresh peers with recent observations of the service. */
	readonly activePeerIds: (nowMs: number) => readonly string[];
	readonly heardRoundOf: (entryId: string) => number;
	/** Treats the age of all reports as unknown, after a pause of this process. */
	readonly resetFreshness: () => void;
	/** Drops peers without a report for `peerLifetimeMs`. */
	readonly expire: (nowMs: number) => void;
};

const peerLifetimeMs = 60_000;

/** Creates the peer table of the entry `entryId` in its `incarnation`. */
export const createPeerTable = (entryId: string, incarnation: number): PeerTable => {
	const peers = new Map<string, Peer>();
	const sentAtMs = new Map<number, number>();

	const isFresh = (peerId: string, nowMs: number): boolean => {
		const madeAfterMs = peers.get(peerId)?.madeAfterMs;
		return madeAfterMs !== undefined && nowMs - madeAfterMs <= reportLifetimeMs;
	};

	const peerFor = (report: EvidenceReport): Peer | undefined => {
		const known = peers.get(report.entryId);
		if (known && (report.incarnation < known.incarnation || (report.incarnation === known.incarnation && report.round <= known.round))) {
			return undefined;
		}

		if (known?.incarnation === report.incarnation) {
			return known;
		}

		const peer: Peer = {
			incarnation: report.incarnation,
			round: 0,
			receivedAtMs: -Infinity,
			heardRound: 0,
			madeAfterMs: undefined,
			activeAtMs: -Infinity,
			counts: new Map(),
			hasFullReport: false,
		};
		peers.set(report.entryId, peer);
		return peer;
	};

	const delta = (peer: Peer, evidence: InstanceEvidence, nowMs: number): PeerDelta => {
		const before = peer.counts.get(evidence.instanceId) ?? (peer.hasFullReport ? {succeeded: 0, failed: 0} : evidence);
		peer.counts.set(evidence.instanceId, {succeeded: evidence.succeeded, failed: evidence.failed});
		const succeeded = evidence.succeeded - before.succeeded;
		const failed = evidence.failed - before.failed;
		if (succeeded + failed > 0) {
			peer.activeAtMs = nowMs;
		}

		const provenAtMs = evidence.successAgeMs === undefined || peer.madeAfterMs === undefined
			? undefined
			: peer.madeAfterMs - evidence.successAgeMs;
		return {
			evidence, succeeded, failed, provenAtMs,
		};
	};

	return {
		recordSent(round, nowMs) {
			sentAtMs.set(round, nowMs);
			for (const [sentRound, atMs] of sentAtMs) {
				if (nowMs - atMs > reportLifetimeMs) {
					sentAtMs.delete(sentRound);
				}
			}
		},
		receive(report, nowMs) {
			const peer = peerFor(report);
			if (!peer || report.entryId === entryId) {
				return [];
			}

			// After a gap, or with an unknown age, counts are only the base for later differences and no evidence.
			if (!isFresh(report.entryId, nowMs) || nowMs - peer.receivedAtMs > reportLifetimeMs) {
				peer.counts.clear();
				peer.hasFullReport = false;
			}

			const echo = report.heard.find(heard => heard.entryId === entryId && heard.incarnation === incarnation);
			peer.round = report.round;
			peer.receivedAtMs = nowMs;
			peer.heardRound = Math.max(peer.heardRound, echo?.round ?? 0);
			peer.madeAfterMs = sentAtMs.get(peer.heardRound) ?? peer.madeAfterMs;
			const deltas = report.instances.map(evidence => delta(peer, evidence, nowMs));
			peer.hasFullReport ||= report.whole;
			return isFresh(report.entryId, nowMs) ? deltas : [];
		},
		heard: () => [...peers].map(([peerId, peer]) => ({entryId: peerId, incarnation: peer.incarnation, round: peer.round})),
		isFresh,
		freshPeerIds: nowMs => [...peers.keys()].filter(peerId => isFresh(peerId, nowMs)),
		activePeerIds: nowMs => [...peers.keys()].filter(peerId =>
			isFresh(peerId, nowMs) && nowMs - (peers.get(peerId)?.activeAtMs ?? -Infinity) <= proofLifetimeMs),
		heardRoundOf: peerId => peers.get(peerId)?.heardRound ?? 0,
		resetFreshness() {
			sentAtMs.clear();
			for (const peer of peers.values()) {
				peer.madeAfterMs = undefined;
			}
		},
		expire(nowMs) {
			for (const [peerId, peer] of peers) {
				if (nowMs - peer.receivedAtMs > peerLifetimeMs) {
					peers.delete(peerId);
				}
			}
		},
	};
};
