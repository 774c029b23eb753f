/** Shares the time of the event loop among connections that have bytes left to parse, one slice each in turn. */

import {performance} from 'node:perf_hooks';

/** Time for which all connections of a process parse in one turn of the event loop, beside the slices that go through at once. */
const turnMs = 4;

/** Bytes that all connections of a process parse in one turn of the event loop, beside those that go through at once. */
const turnBytes = 65_536;
const shortTurnBytes = 16_384;

/** Queue of the connections of a process that have bytes left. */
export type SliceQueue = {
	readonly add: (pump: () => number) => void;
};

/** Creates the queue; `isShort` says that the process should parse little at a time. */
export const createSliceQueue = (isShort: () => boolean): SliceQueue => {
	const waiting = new Set<() => number>();
	let isScheduled = false;

	/** One turn at a time is scheduled: a connection adds itself again while its slice is parsed. */
	const schedule = (): void => {
		if (!isScheduled && waiting.size > 0) {
			isScheduled = true;
			setImmediate(run);
		}
	};

	const parseSome = (): void => {
		let leftBytes = isShort() ? shortTurnBytes : turnBytes;
		const untilMs = performance.now() + turnMs;
		for (const pump of waiting) {
			waiting.delete(pump);
			leftBytes -= pump();
			if (leftBytes <= 0 || performance.now() > untilMs) {
				return;
			}
		}
	};

	const run = (): void => {
		try {
			parseSome();
		} finally {
			// An error of one connection leaves the others their turn.
			isScheduled = false;
			schedule();
		}
	};

	return {
		add(pump) {
			waiting.add(pump);
			schedule();
		},
	};
};
