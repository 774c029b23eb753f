/**
 * Decides when a request that may be repeated is also sent to a second instance because its answer is among the slowest.
 *
 * Load pattern: most answers are fast and a few take many times as long, at instances that are slow for some seconds, busy or about
 * to fail, while others have free slots. The extra work stays within a share of the service's requests that the operator sets, and
 * stops while the service is short of slots: each gateway counts its own requests and hedges, so that the shares of all gateways add
 * up to that of the fleet without messages.
 */

import {createRetryWindow} from '../dispatch/retry-window.ts';
import {createLatencyWindow, type LatencyQuantile} from './latency-window.ts';

/** Limit on the extra work. */
export type HedgeLimits = {
	/** Hedges allowed for each request of a service, from 0 to 1. */
	readonly maxExtraShare: number;
	/** Window in which hedges and requests are counted, and latencies are observed. */
	readonly windowMs: number;
};

/** Slots of the service as seen by the gateway. */
export type HedgeRoom = {
	readonly usableSlots: number;
	readonly inFlight: number;
	readonly waiting: number;
};

/** Whether a hedge may start now, and what keeps it from that. */
export type HedgeVerdict = 'start' | 'limit-spent' | 'no-room';

/** Decides about the hedges of one service at one gateway. */
export type HedgePolicy = {
	/** Counts a caller's request. */
	readonly recordRequest: (nowMs: number) => void;
	/** Records how long an instance took for a complete answer, or how long it had been silent when its attempt was cancelled. */
	readonly recordLatency: (latencyMs: number, nowMs: number) => void;
	/** Latency from which an answer is among the slowest; undefined while too few are known. */
	readonly threshold: (nowMs: number) => LatencyQuantile | undefined;
	/** Takes a hedge from the limit if one may start. */
	readonly tryStart: (room: HedgeRoom, nowMs: number) => HedgeVerdict;
};

/** Answers from which a quantile is taken: the slowest twentieth is five of them. */
const minSamples = 100;

/** Share of the slots that has to be free: a burst of half as many requests again finds room beside the hedges. */
const minFreeShare = 1 / 3;

/** Time for which a threshold is used before it is computed again. */
const thresholdRefreshMs = 250;

/** Creates the policy of a service without requests. */
export const createHedgePolicy = ({maxExtraShare, windowMs}: HedgeLimits): HedgePolicy => {
	const latencies = createLatencyWindow(windowMs);
	const budget = createRetryWindow({ratio: maxExtraShare, slack: 0, windowMs});
	let known: LatencyQuantile | undefined;
	let refreshAtMs = Number.NEGATIVE_INFINITY;

	return {
		recordRequest: budget.recordRequest,
		recordLatency: latencies.record,
		threshold(nowMs) {
			if (nowMs >= refreshAtMs) {
				refreshAtMs = nowMs + thresholdRefreshMs;
				known = latencies.quantile(1 - maxExtraShare, nowMs);
			}

			return known !== undefined && known.samples >= minSamples ? known : undefined;
		},
		tryStart({usableSlots, inFlight, waiting}, nowMs) {
			if (waiting > 0 || inFlight >= usableSlots * (1 - minFreeShare)) {
				return 'no-room';
			}

			return budget.tryAcquire(0, nowMs) ? 'start' : 'limit-spent';
		},
	};
};
