/**
 * The clock type of the whole system.
 *
 * Decisions take `nowMs` as an argument; only the processes around the core hold a `Clock`.
 */

/** A monotonic source of time in milliseconds. The origin is arbitrary but fixed for a process. */
export type Clock = {
	/** Milliseconds since the origin; never decreases. */
	readonly nowMs: () => number;
};

/** A clock that moves only when told to, for tests and experiments. */
export type ManualClock = Clock & {
	/** Moves the clock forward by `durationMs` (0 or more). */
	readonly advanceMs: (durationMs: number) => void;
};

/** Creates a clock that starts at `startMs` and moves only through `advanceMs`. */
export const createManualClock = (startMs = 0): ManualClock => {
	let currentMs = startMs;
	return {
		nowMs: () => currentMs,
		advanceMs(durationMs) {
			currentMs += Math.max(0, durationMs);
		},
	};
};
