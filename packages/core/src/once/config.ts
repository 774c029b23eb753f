/** Defaults of the at-most-once settings. */

import type {AtMostOnceConfig, AtMostOnceOptions} from './types.ts';

const defaults: AtMostOnceConfig = {
	maxKeys: 16_384,
	maxBytes: 8_388_608,
	maxAnswerBytes: 65_536,
	workspaceShare: 0.5,
	maxLifetimeMs: 3_600_000,
	maxIssueAheadMs: 60_000,
	plainMarginMs: 60_000,
	ownerSettleMs: 10_000,
	pauseToleranceMs: 5000,
	markToleranceMs: 1000,
	distrustMs: 1000,
};

/** Returns `options` with the defaults filled in. */
export const resolveAtMostOnceConfig = (options: AtMostOnceOptions = {}): AtMostOnceConfig => ({...defaults, ...options});
