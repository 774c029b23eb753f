/** Translates the quota of a workspace to numbers of requests in a window. */

import type {WorkspaceQuota} from '../catalogue/types.ts';
import {targetShare} from './constants.ts';
import type {QuotaLimits} from './types.ts';

/** Numbers of requests in a window, over all gateways. */
export type Ceilings = {
	/** What the workspace may ask. */
	readonly limit: number;
	/** What the gateways admit as far as they know each other's use. */
	readonly target: number;
	/** What must never be exceeded. */
	readonly ceiling: number;
};

/** Numbers of requests for a quota. */
export const toCeilings = ({ratePerSecond, burst}: WorkspaceQuota, {windowMs, overageShare, slack}: QuotaLimits): Ceilings => {
	const limit = (ratePerSecond * windowMs / 1000) + burst;
	const ceiling = (limit * (1 + overageShare)) + slack;
	return {limit, target: limit + ((ceiling - limit) * targetShare), ceiling};
};
