/**
 * Runs of instances that announced, in an answer to this process or to a peer, that they leave.
 *
 * The announcement outlives the registration, which may say `ready` for longer, expire and be renewed, or arrive late.
 */

import {removedRetentionMs} from './constants.ts';
import type {InstanceRun} from './types.ts';

/** The runs that are leaving. */
export type LeavingRuns = {
	/** Returns false when the run is known. */
	readonly add: (run: InstanceRun, nowMs: number) => boolean;
	readonly has: (run: InstanceRun) => boolean;
	readonly forget: (run: InstanceRun) => void;
	/** Drops runs that have not been registered for as long as a removed registration is kept. */
	readonly expire: (nowMs: number, isRegistered: (run: InstanceRun) => boolean) => void;
};

/** Distinguishes the runs of all instances, including successive ones under one id. */
export const toRunKey = ({instanceId, bornAtMs, address, port}: InstanceRun): string => `${instanceId} ${bornAtMs} ${address}:${port}`;

/** Creates an empty set. */
export const createLeavingRuns = (): LeavingRuns => {
	const runs = new Map<string, {readonly run: InstanceRun; registeredAtMs: number}>();

	return {
		add(run, nowMs) {
			const key = toRunKey(run);
			if (runs.has(key)) {
				return false;
			}

			runs.set(key, {run, registeredAtMs: nowMs});
			return true;
		},
		has: run => runs.has(toRunKey(run)),
		forget(run) {
			runs.delete(toRunKey(run));
		},
		expire(nowMs, isRegistered) {
			for (const [key, leaving] of runs) {
				if (isRegistered(leaving.run)) {
					leaving.registeredAtMs = nowMs;
				} else if (nowMs - leaving.registeredAtMs >= removedRetentionMs) {
					runs.delete(key);
				}
			}
		},
	};
};
