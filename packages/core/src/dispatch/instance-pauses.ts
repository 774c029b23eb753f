/**
 * Pauses that instances asked this gateway for: until the end of its pause an instance gets no request from here.
 *
 * A pause concerns one run of an instance, and outlives its registration, which may expire and be renewed meanwhile.
 */

import type {DispatchInstance} from './types.ts';

/** A run of an instance of the service. */
export type PausedRun = Pick<DispatchInstance, 'instanceId' | 'bornAtMs'>;

/** Pauses of the instances of one service. */
export type InstancePauses = {
	/** Starts a pause, or extends one; an earlier end than the present one has no effect. */
	readonly add: (run: PausedRun, untilMs: number, nowMs: number) => void;
	/** End of the pause of a run; minus infinity when it has none. */
	readonly untilMs: (run: PausedRun) => number;
};

const keyOf = ({instanceId, bornAtMs}: PausedRun): string => `${instanceId} ${bornAtMs}`;

/** Creates an empty set of pauses. */
export const createInstancePauses = (): InstancePauses => {
	const endsMs = new Map<string, number>();

	const untilMs = (run: PausedRun): number => endsMs.get(keyOf(run)) ?? Number.NEGATIVE_INFINITY;

	return {
		add(run, endMs, nowMs) {
			for (const [key, otherEndMs] of endsMs) {
				if (otherEndMs <= nowMs) {
					endsMs.delete(key);
				}
			}

			endsMs.set(keyOf(run), Math.max(endMs, untilMs(run)));
		},
		untilMs,
	};
};
