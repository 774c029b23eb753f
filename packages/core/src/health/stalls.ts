/** Finds stalled requests by comparison with the other requests of the service. */

import {maxStallCount, stallFactor} from './constants.ts';
import {median} from './median.ts';

/** A request in flight to one instance. */
export type InFlightRequest = {
	readonly instanceId: string;
	readonly startedAtMs: number;
	/** Last time at which data moved in either direction. */
	progressAtMs: number;
	/** Times that the request was counted as stalled. */
	stallCount: number;
};

/** Age above which a request is stalled: at least the setting, and far above what is typical of the service. */
export const stallAgeMs = (stallThresholdMs: number, medianLatencyMs: number, oldestAgesMs: readonly number[]): number => {
	const typicalMs = Math.max(medianLatencyMs, median(oldestAgesMs));
	return Math.max(stallThresholdMs, stallFactor * typicalMs);
};

const oldestAges = (inFlight: Iterable<InFlightRequest>, instanceIds: readonly string[], nowMs: number): readonly number[] => {
	const ages = new Map(instanceIds.map(instanceId => [instanceId, 0]));
	for (const {instanceId, progressAtMs} of inFlight) {
		const ageMs = nowMs - progressAtMs;
		if (ageMs > (ages.get(instanceId) ?? Infinity)) {
			ages.set(instanceId, ageMs);
		}
	}

	return [...ages.values()];
};

/**
 * Finds the stalled requests and counts each stall. A request that makes no progress is found again at the next multiple
 * of the limit, up to `maxStallCount` times: load balancing by requests in flight sends a stalled instance few further
 * requests, so these alone would give too little evidence.
 */
export const findStalled = (
	inFlight: ReadonlySet<InFlightRequest>,
	service: {readonly instanceIds: readonly string[]; readonly stallThresholdMs: number; readonly medianLatencyMs: number},
	nowMs: number,
): readonly InFlightRequest[] => {
	const limitMs = stallAgeMs(service.stallThresholdMs, service.medianLatencyMs, oldestAges(inFlight, service.instanceIds, nowMs));
	const found = [...inFlight].filter(request =>
		request.stallCount < maxStallCount && nowMs - request.progressAtMs > limitMs * (request.stallCount + 1));
	for (const request of found) {
		request.stallCount++;
	}

	return found;
};
