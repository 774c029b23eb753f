/**
 * The clock interface of the fleet.
 *
 * Functions of the core take `nowMs` as an argument; only the processes that embed the core have a `Clock`.
 */

/** A monotonic clock in milliseconds. The origin is arbitrary, but fixed for the lifetime of the process. */
export type Clock = {
	/** Milliseconds since the origin; never decreases. */
	readonly nowMs: () => number;
};

/** A clock that is advanced explicitly, for tests and simulations. */
export type ManualClock = Clock & {
	/** Advances the clock by `durationMs`; negative values are ignored. */
	readonly advanceMs: (durationMs: number) => void;
};

/** Creates a clock that starts at `startMs` and is advanced only by `advanceMs`. */
export const createManualClock = (startMs = 0): ManualClock => {
	let currentMs = startMs;
	return {
		nowMs: () => currentMs,
		advanceMs(durationMs) {
			currentMs += Math.max(0, durationMs);
		},
	};
};
