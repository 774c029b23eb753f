/**
 * Which gateways read the store: two in different data centres, so that calls stay few and the loss of one costs nothing.
 * Strong ones where there are any: a reader decodes each configuration and is the first that peers ask for it.
 *
 * A member that the store turns away, or does not answer, says so and is passed over for a while. A gateway that knows
 * nothing while requests wait at it reads at once, and again after a short while: after a loss of all gateways no peer
 * could tell it anything sooner.
 */

import {rankByCapacity} from '../placement/capacity-ranking.ts';
import {
	awaitedRetryMs, electionWaitMs, readerCount, unreachableHoldMs,
} from './constants.ts';

/** A gateway that could read. */
export type ReaderCandidate = {
	readonly hostId: string;
	readonly dataCentre: string;
	/** Strength relative to others; 1 when absent. */
	readonly capacity?: number;
};

/** Elects the readers from one gateway's view. */
export type ReaderElection = {
	/** A member said, or this gateway found, that the store can't be reached from there. */
	readonly markUnreachable: (hostId: string, nowMs: number) => void;
	readonly markReachable: (hostId: string) => void;
	/** Whether `selfId` reads the store now; `isAwaited` while requests wait there for the catalogue. */
	readonly isReader: (selfId: string, members: readonly ReaderCandidate[], nowMs: number, isAwaited?: boolean) => boolean;
};

/** The members that read, best first: the highest ranked, then the highest ranked of another data centre; strong ones rank first. */
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

/** Creates the election; `startedAtMs` is the start of this process. */
export const createReaderElection = (startedAtMs: number): ReaderElection => {
	const unreachableAtMs = new Map<string, number>();

	const sinceUnreachableMs = (hostId: string, nowMs: number): number => nowMs - (unreachableAtMs.get(hostId) ?? Number.NEGATIVE_INFINITY);

	const isReachable = (hostId: string, nowMs: number): boolean => sinceUnreachableMs(hostId, nowMs) >= unreachableHoldMs;

	return {
		markUnreachable(hostId, nowMs) {
			unreachableAtMs.set(hostId, nowMs);
		},
		markReachable(hostId) {
			unreachableAtMs.delete(hostId);
		},
		isReader(selfId, members, nowMs, isAwaited = false) {
			// What members say of themselves may be lost, so that each may take another for a reader.
			if (isAwaited && sinceUnreachableMs(selfId, nowMs) >= awaitedRetryMs) {
				return true;
			}

			if (nowMs - startedAtMs < electionWaitMs) {
				return false;
			}

			const reachable = members.filter(({hostId}) => isReachable(hostId, nowMs));
			// With the store out of reach for everyone, the first ones keep trying.
			return selectReaders(reachable.length === 0 ? members : reachable).includes(selfId);
		},
	};
};
