/**
 * Adaptive concurrency limit of one entry for a service.
 *
 * The slots of the instances are shared by all entries that serve them. Each entry may always use an equal share. It
 * borrows from the rest while the latency and the shed answers that it sees show that the others leave slots idle.
 * Entries need to know only their number for this. An entry whose share is held by long requests sees no answers; it
 * borrows step by step, until an answer shows whether the instances are overloaded.
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
	silenceLatencies,
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
	/** Records that a request has to wait because of the limit; to be called regularly while one does. */
	readonly observeSaturation: (nowMs: number) => void;
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
	/** When the last attempt ended, or more was borrowed because none did. */
	let lastEndedAtMs = 0;

	/** The baseline, or the mean of this window when it is higher. */
	const usualLatencyMs = (): number => Math.max(baselineMs ?? 0, current.answers === 0 ? 0 : current.latencySumMs / current.answers);

	const borrowMore = (): void => {
		borrowedShare = Math.min(1, borrowedShare + borrowedShareStep);
	};

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
			borrowMore();
		}
	};

	const closeWindow = (nowMs: number): void => {
		lastEndedAtMs = nowMs;
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
		observeSaturation(nowMs) {
			current.isSaturated = true;
			if (nowMs - lastEndedAtMs >= Math.max(limitWindowMs, usualLatencyMs() * silenceLatencies)) {
				borrowMore();
				lastEndedAtMs = nowMs;
			}
		},
		borrowedShare: () => borrowedShare,
	};
};
