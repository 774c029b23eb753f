/** Typical behaviour of the instances of a service: observation rate and failure share. */

import {
	baselineTimeConstantMs, disturbanceTimeConstantMs, maxFailuresPerInstance, minHealthyFailureShare, priorObservations, trimmedShare,
} from './constants.ts';
import {lowerMedian} from './median.ts';

const msPerSecond = 1000;
const minObservations = 5;

/** Counts of one instance that decay exponentially. */
type DecayingCounts = {succeeded: number; failed: number};

/** The same observations under a slow and a fast decay. */
type InstanceCounts = {readonly slow: DecayingCounts; readonly fast: DecayingCounts};

/** The typical behaviour of a service. */
export type Baseline = {
	readonly add: (instanceId: string, succeeded: number, failed: number) => void;
	/** Reduces the weight of old observations. */
	readonly decay: (nowMs: number) => void;
	/** Observations per second and instance, summed over all entries that report. */
	readonly observationsPerSecond: (nowMs: number) => number;
	/** Current failure share of a healthy instance: the higher of the typical one and that of a service-wide disturbance. */
	readonly failureShare: () => number;
	/** Drops all instances but those in `keep`. */
	readonly retain: (keep: ReadonlySet<string>) => void;
};

const total = ({succeeded, failed}: DecayingCounts): number => succeeded + failed;

const failureShareOf = (counts: DecayingCounts): number => total(counts) > 0 ? counts.failed / total(counts) : 0;

const add = (counts: DecayingCounts, succeeded: number, failed: number): void => {
	counts.succeeded += succeeded;
	counts.failed += failed;
};

const scale = (counts: DecayingCounts, factor: number): void => {
	counts.succeeded *= factor;
	counts.failed *= factor;
};

const typicalFailureShare = (counts: readonly DecayingCounts[]): number =>
	lowerMedian(counts.filter(some => total(some) >= minObservations).map(some => failureShareOf(some)));

/** Failure share of the service without its worst instances; each of the others contributes a limited number of failures. */
const disturbanceFailureShare = (counts: readonly DecayingCounts[]): number => {
	const kept = counts
		.toSorted((a, b) => failureShareOf(a) - failureShareOf(b))
		.slice(0, Math.floor(counts.length * (1 - trimmedShare)));
	const sum: DecayingCounts = {succeeded: priorObservations * (1 - minHealthyFailureShare), failed: priorObservations * minHealthyFailureShare};
	for (const {succeeded, failed} of kept) {
		add(sum, succeeded, Math.min(failed, maxFailuresPerInstance));
	}

	return failureShareOf(sum);
};

/** Creates the baseline of a service at `startMs`. */
export const createBaseline = (startMs: number): Baseline => {
	const instances = new Map<string, InstanceCounts>();
	let decayedAtMs = startMs;
	return {
		add(instanceId, succeeded, failed) {
			const counts = instances.get(instanceId) ?? {slow: {succeeded: 0, failed: 0}, fast: {succeeded: 0, failed: 0}};
			add(counts.slow, succeeded, failed);
			add(counts.fast, succeeded, failed);
			instances.set(instanceId, counts);
		},
		decay(nowMs) {
			const elapsedMs = nowMs - decayedAtMs;
			decayedAtMs = nowMs;
			for (const {slow, fast} of instances.values()) {
				scale(slow, Math.exp(-elapsedMs / baselineTimeConstantMs));
				scale(fast, Math.exp(-elapsedMs / disturbanceTimeConstantMs));
			}
		},
		observationsPerSecond(nowMs) {
			const coveredMs = baselineTimeConstantMs * (1 - Math.exp((startMs - nowMs) / baselineTimeConstantMs));
			if (coveredMs <= 0 || instances.size === 0) {
				return 0;
			}

			let observations = 0;
			for (const {slow} of instances.values()) {
				observations += total(slow);
			}

			return observations * msPerSecond / coveredMs / instances.size;
		},
		failureShare() {
			const counts = [...instances.values()];
			return Math.max(typicalFailureShare(counts.map(({slow}) => slow)), disturbanceFailureShare(counts.map(({fast}) => fast)));
		},
		retain(keep) {
			for (const instanceId of instances.keys()) {
				if (!keep.has(instanceId)) {
					instances.delete(instanceId);
				}
			}
		},
	};
};
