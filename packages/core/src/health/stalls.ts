/** Requests in flight, and which of them are stalled measured against the service's other requests. */

import {maxStallCount, stallFactor} from './constants.ts';
import {median} from './median.ts';

/** A request in flight to one instance. */
export type InFlight = {
	readonly instanceId: string;
	readonly startedAtMs: number;
	/** Last time a byte moved in either direction. */
	progressAtMs: number;
	/** How often it was counted as stalled. */
	stallCount: number;
};

/** Age above which a request is stalled: never below the setting, and far above what the service shows elsewhere. */
export const stallAgeMs = (stallThresholdMs: number, medianLatencyMs: number, oldestAgesMs: readonly number[]): number => {
	const typicalMs = Math.max(medianLatencyMs, median(oldestAgesMs));
	return Math.max(stallThresholdMs, stallFactor * typicalMs);
};

const oldestAges = (inFlight: Iterable<InFlight>, instanceIds: readonly string[], nowMs: number): readonly number[] => {
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
 * Finds the requests that are stalled and counts that. One that goes on standing still is found again at the next
 * multiple of the limit, a few times: a choice by requests in flight sends a stalled instance little more work.
 */
export const findStalled = (
	inFlight: ReadonlySet<InFlight>,
	service: {readonly instanceIds: readonly string[]; readonly stallThresholdMs: number; readonly medianLatencyMs: number},
	nowMs: number,
): readonly InFlight[] => {
	const limitMs = stallAgeMs(service.stallThresholdMs, service.medianLatencyMs, oldestAges(inFlight, service.instanceIds, nowMs));
	const found = [...inFlight].filter(request =>
		request.stallCount < maxStallCount && nowMs - request.progressAtMs > limitMs * (request.stallCount + 1));
	for (const request of found) {
		request.stallCount++;
	}

	return found;
};
