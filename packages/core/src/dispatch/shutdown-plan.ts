/**
 * Decides which requests a gateway still accepts during its shutdown.
 *
 * Callers keep addresses and connections for a while after the shutdown has begun, up to its end. A request that might
 * not be answered by then is refused at once, so that its caller goes elsewhere.
 */

import {lateAcceptShare, maxLateAcceptMs} from './constants.ts';

/** A shutdown under way. */
export type ShutdownPlan = {
	readonly beganAtMs: number;
	/** When requests that still wait are refused, and those at instances are given up. */
	readonly endsAtMs: number;
};

/** True when a request that was completely received at `nowMs` and is answered by `finalAtMs` may be sent. */
export const isAcceptedDuringShutdown = ({beganAtMs, endsAtMs}: ShutdownPlan, finalAtMs: number, nowMs: number): boolean =>
	finalAtMs <= endsAtMs || nowMs - beganAtMs <= Math.min(maxLateAcceptMs, lateAcceptShare * (endsAtMs - beganAtMs));
