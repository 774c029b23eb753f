/** What an entry knows about the other entries of a service, and how fresh it is. */

import {proofMs, reportLifetimeMs} from './constants.ts';
import type {EvidenceReport, HeardRound, InstanceEvidence} from './types.ts';

/** Counts of one instance at one entry. */
type Counts = {readonly succeeded: number; readonly failed: number};

/** State of one peer entry. */
type Peer = {
	readonly incarnation: number;
	round: number;
	receivedAtMs: number;
	/** Highest round of this entry that the peer has heard. */
	heardRound: number;
	/** Time after which the peer's last report was certainly made; undefined before the peer heard this entry. */
	madeAfterMs: number | undefined;
	/** Last time a count of the peer rose. */
	activeAtMs: number;
	readonly counts: Map<string, Counts>;
	/** True once a whole report came: an instance without counts has had no observations. */
	whole: boolean;
};

/** New observations of a peer about one instance. */
export type PeerDelta = {
	readonly evidence: InstanceEvidence;
	/** Observations since the peer's report before; zero when they can't be told from old ones. */
	readonly succeeded: number;
	readonly failed: number;
	/** Time after which the peer certainly saw a success, if that is known. */
	readonly provenAtMs: number | undefined;
};

/** The peers of one entry for one service. */
export type PeerBook = {
	/** Notes that this entry sent `round`. */
	readonly sent: (round: number, nowMs: number) => void;
	/** Takes a report; empty if it is out of date, of an old incarnation, or of unknown age. */
	readonly receive: (report: EvidenceReport, nowMs: number) => readonly PeerDelta[];
	readonly heard: () => readonly HeardRound[];
	readonly isFresh: (entryId: string, nowMs: number) => boolean;
	/** Peers that were heard from lately and hear this entry. */
	readonly fresh: (nowMs: number) => readonly string[];
	/** Fresh peers that have lately seen requests of the service. */
	readonly active: (nowMs: number) => readonly string[];
	readonly heardRoundOf: (entryId: string) => number;
	/** Forgets how fresh the peers are, after this process was paused. */
	readonly distrust: () => void;
	/** Drops peers and incarnations that were not heard from for long. */
	readonly expire: (nowMs: number) => void;
};

const peerLifetimeMs = 60_000;

/** Creates the book of the entry `entryId` in its `incarnation`. */
export const createPeerBook = (entryId: string, incarnation: number): PeerBook => {
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
			whole: false,
		};
		peers.set(report.entryId, peer);
		return peer;
	};

	const delta = (peer: Peer, evidence: InstanceEvidence, nowMs: number): PeerDelta => {
		const before = peer.counts.get(evidence.instanceId) ?? (peer.whole ? {succeeded: 0, failed: 0} : evidence);
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
		sent(round, nowMs) {
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

			// Counts from before a gap, or of unknown age, are a base to count from and no evidence.
			if (!isFresh(report.entryId, nowMs) || nowMs - peer.receivedAtMs > reportLifetimeMs) {
				peer.counts.clear();
				peer.whole = false;
			}

			const echo = report.heard.find(heard => heard.entryId === entryId && heard.incarnation === incarnation);
			peer.round = report.round;
			peer.receivedAtMs = nowMs;
			peer.heardRound = Math.max(peer.heardRound, echo?.round ?? 0);
			peer.madeAfterMs = sentAtMs.get(peer.heardRound) ?? peer.madeAfterMs;
			const deltas = report.instances.map(evidence => delta(peer, evidence, nowMs));
			peer.whole ||= report.whole;
			return isFresh(report.entryId, nowMs) ? deltas : [];
		},
		heard: () => [...peers].map(([peerId, peer]) => ({entryId: peerId, incarnation: peer.incarnation, round: peer.round})),
		isFresh,
		fresh: nowMs => [...peers.keys()].filter(peerId => isFresh(peerId, nowMs)),
		active: nowMs => [...peers.keys()].filter(peerId =>
			isFresh(peerId, nowMs) && nowMs - (peers.get(peerId)?.activeAtMs ?? -Infinity) <= proofMs),
		heardRoundOf: peerId => peers.get(peerId)?.heardRound ?? 0,
		distrust() {
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
