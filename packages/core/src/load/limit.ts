/**
 * Adaptive concurrency limit of one entry for a service.
 *
 * The slots of the instances are shared by all entries that serve them. Each entry may always use an equal share. It
 * borrows from the rest while the latency and the shed answers that it sees show that the others leave slots idle.
 * Entries need to know only their number for this.
 */

import {
	baselineFallWeight,
	baselineRiseWeight,
	borrowedShareDecrease,
	borrowedShareStep,
	initialBorrowedShare,
	latencyTolerance,
	limitWindowAttempts,
	limitWindowMs,
	shedTolerance,
	minBorrowedShare,
} from './constants.ts';

/** The adaptive limit of one entry for one service. */
export type ServiceLimit = {
	/** Number of requests allowed in flight, given the usable slots of the service and the number of entries that share them. */
	readonly inFlightLimit: (usableSlots: number, entryCount: number) => number;
	/** Records an answered request. */
	readonly observeAnswer: (latencyMs: number, nowMs: number) => void;
	/** Records a request that the backend server shed. */
	readonly observeShed: (nowMs: number) => void;
	/** Records that a request had to wait because of the limit. */
	readonly observeSaturation: () => void;
	/** Share of the other entries' slots that is borrowed, from 0 to 1. */
	readonly borrowedShare: () => number;
};

type Window = {
	startedAtMs: number;
	answers: number;
	sheds: number;
	latencySumMs: number;
	isSaturated: boolean;
};

const createWindow = (startedAtMs: number): Window => ({
	startedAtMs, answers: 0, sheds: 0, latencySumMs: 0, isSaturated: false,
});

const nextBaselineMs = (baselineMs: number | undefined, meanMs: number, borrowedShare: number): number => {
	if (baselineMs === undefined) {
		return meanMs;
	}

	if (meanMs < baselineMs) {
		return baselineMs + ((meanMs - baselineMs) * baselineFallWeight);
	}

	// Higher latency raises the baseline only while this entry adds no load beyond its own share.
	return borrowedShare === 0 ? baselineMs + ((meanMs - baselineMs) * baselineRiseWeight) : baselineMs;
};

/** Creates the limit of one entry for one service. */
export const createServiceLimit = (): ServiceLimit => {
	let borrowedShare = initialBorrowedShare;
	let baselineMs: number | undefined;
	let current = createWindow(0);

	const adjust = (closed: Window): void => {
		const attempts = closed.answers + closed.sheds;
		const meanMs = closed.answers === 0 ? undefined : closed.latencySumMs / closed.answers;
		const isShedding = closed.sheds > attempts * shedTolerance;
		const isSlow = meanMs !== undefined && baselineMs !== undefined && meanMs > baselineMs * latencyTolerance;
		if (meanMs !== undefined) {
			baselineMs = nextBaselineMs(baselineMs, meanMs, borrowedShare);
		}

		if (isShedding || isSlow) {
			const decreased = borrowedShare * borrowedShareDecrease;
			borrowedShare = decreased < minBorrowedShare ? 0 : decreased;
			return;
		}

		if (closed.isSaturated) {
			borrowedShare = Math.min(1, borrowedShare + borrowedShareStep);
		}
	};

	const closeWindow = (nowMs: number): void => {
		const isLongEnough = nowMs - current.startedAtMs >= limitWindowMs;
		if (!isLongEnough || current.answers + current.sheds < limitWindowAttempts) {
			return;
		}

		adjust(current);
		current = createWindow(nowMs);
	};

	return {
		inFlightLimit(usableSlots, entryCount) {
			const ownSlots = usableSlots / Math.max(1, entryCount);
			return Math.max(1, ownSlots + ((usableSlots - ownSlots) * borrowedShare));
		},
		observeAnswer(latencyMs, nowMs) {
			current.answers++;
			current.latencySumMs += latencyMs;
			closeWindow(nowMs);
		},
		observeShed(nowMs) {
			current.sheds++;
			closeWindow(nowMs);
		},
		observeSaturation() {
			current.isSaturated = true;
		},
		borrowedShare: () => borrowedShare,
	};
};
