/** Hedging of the slowest answers, within a limit on the extra work. */

export {createHedgePolicy} from './hedge-policy.ts';
export type {
	HedgeLimits, HedgePolicy, HedgeRoom, HedgeVerdict,
} from './hedge-policy.ts';
export {createLatencyWindow} from './latency-window.ts';
export type {LatencyQuantile, LatencyWindow} from './latency-window.ts';
