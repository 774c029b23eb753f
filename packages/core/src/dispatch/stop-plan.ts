/**
 * Which requests a gateway that shuts down still takes.
 *
 * Answers the load in which callers keep addresses and connections for a while after the shutdown has begun, up to its
 * end: what may not be answered by then is refused at once, so that its caller goes elsewhere.
 */

import {lateTakeShare} from './constants.ts';

/** A shutdown under way. */
export type ShutdownPlan = {
	readonly beganAtMs: number;
	/** When requests that still wait are refused, and those at instances are given up. */
	readonly endsAtMs: number;
};

/** True when a request that is whole at `nowMs` may be sent, to be answered at `finalAtMs` at the latest. */
export const isAcceptedDuringShutdown = ({beganAtMs, endsAtMs}: ShutdownPlan, finalAtMs: number, nowMs: number): boolean =>
	finalAtMs <= endsAtMs || nowMs - beganAtMs <= lateTakeShare * (endsAtMs - beganAtMs);
