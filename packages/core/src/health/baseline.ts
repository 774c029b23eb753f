/** How the instances of a service usually behave: observation rate and failure share. */

import {
	baselineTimeMs, disturbanceTimeMs, maxFailuresEach, minHealthyShare, priorObservations, trimmedShare,
} from './constants.ts';
import {lowerMedian} from './median.ts';

const msPerSecond = 1000;
const minObservations = 5;

/** Counts of one instance that fade with time. */
type Fading = {succeeded: number; failed: number};

/** The same observations, faded slowly and quickly. */
type InstanceCounts = {readonly slow: Fading; readonly fast: Fading};

/** The usual behaviour of a service. */
export type Baseline = {
	readonly add: (instanceId: string, succeeded: number, failed: number) => void;
	/** Lets old observations fade. */
	readonly fade: (nowMs: number) => void;
	/** Observations per second and instance, over all entries that report. */
	readonly observationsPerSecond: (nowMs: number) => number;
	/** Share of failures of a healthy instance, now: the usual one, or that of a disturbance of the whole service. */
	readonly failureShare: () => number;
	readonly forget: (keep: ReadonlySet<string>) => void;
};

const total = ({succeeded, failed}: Fading): number => succeeded + failed;

const shareOf = (counts: Fading): number => total(counts) > 0 ? counts.failed / total(counts) : 0;

const add = (counts: Fading, succeeded: number, failed: number): void => {
	counts.succeeded += succeeded;
	counts.failed += failed;
};

const scale = (counts: Fading, factor: number): void => {
	counts.succeeded *= factor;
	counts.failed *= factor;
};

const usualShare = (counts: readonly Fading[]): number =>
	lowerMedian(counts.filter(some => total(some) >= minObservations).map(some => shareOf(some)));

/** Share of failures over the service without its worst instances, none of which counts for many of the rest. */
const disturbedShare = (counts: readonly Fading[]): number => {
	const kept = counts
		.toSorted((a, b) => shareOf(a) - shareOf(b))
		.slice(0, Math.floor(counts.length * (1 - trimmedShare)));
	const sum: Fading = {succeeded: priorObservations * (1 - minHealthyShare), failed: priorObservations * minHealthyShare};
	for (const {succeeded, failed} of kept) {
		add(sum, succeeded, Math.min(failed, maxFailuresEach));
	}

	return shareOf(sum);
};

/** Creates the baseline of a service at `startMs`. */
export const createBaseline = (startMs: number): Baseline => {
	const instances = new Map<string, InstanceCounts>();
	let fadedAtMs = startMs;
	return {
		add(instanceId, succeeded, failed) {
			const counts = instances.get(instanceId) ?? {slow: {succeeded: 0, failed: 0}, fast: {succeeded: 0, failed: 0}};
			add(counts.slow, succeeded, failed);
			add(counts.fast, succeeded, failed);
			instances.set(instanceId, counts);
		},
		fade(nowMs) {
			const elapsedMs = nowMs - fadedAtMs;
			fadedAtMs = nowMs;
			for (const {slow, fast} of instances.values()) {
				scale(slow, Math.exp(-elapsedMs / baselineTimeMs));
				scale(fast, Math.exp(-elapsedMs / disturbanceTimeMs));
			}
		},
		observationsPerSecond(nowMs) {
			const coveredMs = baselineTimeMs * (1 - Math.exp((startMs - nowMs) / baselineTimeMs));
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
			return Math.max(usualShare(counts.map(({slow}) => slow)), disturbedShare(counts.map(({fast}) => fast)));
		},
		forget(keep) {
			for (const instanceId of instances.keys()) {
				if (!keep.has(instanceId)) {
					instances.delete(instanceId);
				}
			}
		},
	};
};
