/**
 * Limits repeated sends to a share of the requests in a sliding window, for one gateway of several.
 *
 * Answers the load in which most instances fail at once, so that retries would multiply it.
 */

const bucketMs = 500;

/** What all gateways together may repeat. */
export type RetryLimits = {
	/** Repeated sends allowed for each request in the window. */
	readonly ratio: number;
	/** Repeated sends allowed besides, over all gateways. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Repeated sends of one service at one gateway. */
export type RetryWindow = {
	readonly recordRequest: (nowMs: number) => void;
	/** Takes one repeated send; false when none is left. `slackShare` is this gateway's part of the slack, from 0 to 1. */
	readonly tryAcquire: (slackShare: number, nowMs: number) => boolean;
};

/** Part of the slack for the gateways that callers are sent to; they share it evenly. */
const placedSlackShare = 0.6;

/** Part of the slack for all gateways together, whether callers are sent to them or not. */
const commonSlackShare = 0.2;

/** A gateway's part of the slack. What is left over covers gateways that are started anew and have forgotten what they sent. */
export const slackShareOf = (isPlaced: boolean, placedCount: number, memberCount: number): number =>
	(commonSlackShare / Math.max(1, memberCount)) + (isPlaced ? placedSlackShare / Math.max(1, placedCount) : 0);

type Bucket = {
	readonly index: number;
	requests: number;
	retries: number;
};

/** Creates an empty window. */
export const createRetryWindow = ({ratio, slack, windowMs}: RetryLimits): RetryWindow => {
	let buckets: Bucket[] = [];

	const current = (nowMs: number): Bucket => {
		const index = Math.floor(nowMs / bucketMs);
		buckets = buckets.filter(bucket => (index - bucket.index) * bucketMs <= windowMs);
		let bucket = buckets.at(-1);
		if (bucket?.index !== index) {
			bucket = {index, requests: 0, retries: 0};
			buckets.push(bucket);
		}

		return bucket;
	};

	return {
		recordRequest(nowMs) {
			current(nowMs).requests++;
		},
		tryAcquire(slackShare, nowMs) {
			const bucket = current(nowMs);
			const requests = buckets.reduce((sum, {requests}) => sum + requests, 0);
			const retries = buckets.reduce((sum, {retries}) => sum + retries, 0);
			if (retries + 1 > (ratio * requests) + (slack * slackShare)) {
				return false;
			}

			bucket.retries++;
			return true;
		},
	};
};
