/**
 * Retry budget of one gateway of several: limits repeated sends to a share of the requests in a sliding window.
 *
 * Without it, retries would multiply the load when most instances fail at once.
 */

const bucketMs = 500;

/** Limits on the repeated sends of all gateways together. */
export type RetryLimits = {
	/** Repeated sends allowed for each request in the window. */
	readonly ratio: number;
	/** Repeated sends allowed in addition, over all gateways. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Retry budget of one service at one gateway. */
export type RetryWindow = {
	readonly recordRequest: (nowMs: number) => void;
	/** Takes one repeated send from the budget; false when it is spent. `slackShare` is this gateway's share of the slack, from 0 to 1. */
	readonly tryAcquire: (slackShare: number, nowMs: number) => boolean;
	/** Used part of the budget, from 0 to 1; 1 where there is none. */
	readonly usedShare: (slackShare: number, nowMs: number) => number;
};

/** Share of the slack for the gateways that callers are sent to, divided evenly. */
const placedSlackShare = 0.6;

/** Share of the slack divided evenly between all gateways, whether callers are sent to them or not. */
const commonSlackShare = 0.2;

/** A gateway's share of the slack. The unassigned rest covers gateways that restart and lose their window. */
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

	const allowedRetries = (slackShare: number): number => (ratio * buckets.reduce((sum, {requests}) => sum + requests, 0)) + (slack * slackShare);
	const usedRetries = (): number => buckets.reduce((sum, {retries}) => sum + retries, 0);

	return {
		recordRequest(nowMs) {
			current(nowMs).requests++;
		},
		tryAcquire(slackShare, nowMs) {
			const bucket = current(nowMs);
			if (usedRetries() + 1 > allowedRetries(slackShare)) {
				return false;
			}

			bucket.retries++;
			return true;
		},
		usedShare(slackShare, nowMs) {
			current(nowMs);
			const allowed = allowedRetries(slackShare);
			return allowed === 0 ? 1 : Math.min(1, usedRetries() / allowed);
		},
	};
};
