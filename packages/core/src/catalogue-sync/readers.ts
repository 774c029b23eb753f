/**
 * Election of the gateways that read the store: two in different data centres, so that calls stay few and the loss of
 * one causes no delay. Members with high capacity are preferred: a reader decodes each configuration and is the first
 * that peers ask for it.
 *
 * A member that the store rejects, or does not answer, reports this and is excluded for a while. A reader that shuts down
 * keeps reading until it leaves, and the others elect its successor as soon as they hear of the shutdown. A gateway that needs
 * to read although it is not elected does so at once, and again `awaitedRetryMs` after a failure: one without a catalogue at
 * which requests wait, since after a loss of all gateways no peer could send it the catalogue sooner, and one that hears
 * nothing from the readers.
 */

import {rankByCapacity} from '../placement/capacity-ranking.ts';
import {
	awaitedRetryMs, electionWaitMs, readerCount, unreachableExclusionMs,
} from './constants.ts';

/** A gateway that can be elected as a reader. */
export type ReaderCandidate = {
	readonly hostId: string;
	readonly dataCentre: string;
	/** Capacity relative to other gateways; 1 when absent. */
	readonly capacity?: number;
	/** True while it shuts down. */
	readonly isDraining?: boolean;
};

/** Election of the readers from one gateway's view. */
export type ReaderElection = {
	/** Records that a member reported, or this gateway found, that the store can't be reached from there. */
	readonly markUnreachable: (hostId: string, nowMs: number) => void;
	readonly markReachable: (hostId: string) => void;
	/**
	 * True when `selfId` reads the store now; `isNeeded` is true while it should read although others are elected. Members are
	 * ranked again only when `members` is another array.
	 */
	readonly isReader: (selfId: string, members: readonly ReaderCandidate[], nowMs: number, isNeeded?: boolean) => boolean;
	/** Ids of the elected readers from the view of `selfId`; none until members have had time to discover each other. */
	readonly readers: (selfId: string, members: readonly ReaderCandidate[], nowMs: number) => readonly string[];
};

/** Returns the readers, best first: the highest ranked member, then the highest ranked of another data centre. Capacity ranks first. */
export const selectReaders = (members: readonly ReaderCandidate[]): readonly string[] => {
	const ranked = rankByCapacity('store readers', members);
	const readers = ranked.slice(0, 1);
	while (readers.length < readerCount) {
		const next = ranked.find(member => !readers.includes(member) && readers.every(reader => reader.dataCentre !== member.dataCentre))
			?? ranked.find(member => !readers.includes(member));
		if (next === undefined) {
			break;
		}

		readers.push(next);
	}

	return readers.map(({hostId}) => hostId);
};

/** The readers among some members, one of which asks. */
type Elected = {
	readonly members: readonly ReaderCandidate[];
	readonly selfId: string;
	/** Ids of the members that can't reach the store. */
	readonly excluded: string;
	readonly readers: readonly string[];
};

/** Creates the election; `startedAtMs` is the start of this process. */
export const createReaderElection = (startedAtMs: number): ReaderElection => {
	const unreachableAtMs = new Map<string, number>();
	let elected: Elected | undefined;

	const sinceUnreachableMs = (hostId: string, nowMs: number): number => nowMs - (unreachableAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY);

	const isReachable = (hostId: string, nowMs: number): boolean => sinceUnreachableMs(hostId, nowMs) >= unreachableExclusionMs;

	const elect = (selfId: string, members: readonly ReaderCandidate[], nowMs: number): readonly string[] => {
		const isSelfDraining = members.some(({hostId, isDraining}) => hostId === selfId && isDraining);
		const candidates = isSelfDraining ? members : members.filter(({isDraining}) => !isDraining);
		const reachable = candidates.filter(({hostId}) => isReachable(hostId, nowMs));
		// When no candidate can reach the store, the highest ranked ones keep trying.
		return selectReaders(reachable.length === 0 ? candidates : reachable);
	};

	const electedFor = (selfId: string, members: readonly ReaderCandidate[], nowMs: number): readonly string[] => {
		const excluded = [...unreachableAtMs.keys()].filter(id => !isReachable(id, nowMs)).join(',');
		if (elected?.members !== members || elected.selfId !== selfId || elected.excluded !== excluded) {
			elected = {
				members, selfId, excluded, readers: elect(selfId, members, nowMs),
			};
		}

		return elected.readers;
	};

	const readers = (selfId: string, members: readonly ReaderCandidate[], nowMs: number): readonly string[] =>
		nowMs - startedAtMs < electionWaitMs ? [] : electedFor(selfId, members, nowMs);

	return {
		markUnreachable(hostId, nowMs) {
			unreachableAtMs.set(hostId, nowMs);
		},
		markReachable(hostId) {
			unreachableAtMs.delete(hostId);
		},
		isReader(selfId, members, nowMs, isNeeded = false) {
			// Reports of unreachable members may be lost, so that each member may assume that another one is a reader.
			if (isNeeded && sinceUnreachableMs(selfId, nowMs) >= awaitedRetryMs) {
				return true;
			}

			return readers(selfId, members, nowMs).includes(selfId);
		},
		readers,
	};
};
