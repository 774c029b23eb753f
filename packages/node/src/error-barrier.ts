/** Keeps an error that no code expected from leaving the work in which it arose, since it would end the process. */

import {describeProcess, type ProcessMetrics} from './process-report.ts';
import type {Logger} from './logger.ts';

/** Time between two log lines of one place, in milliseconds; errors in between are counted. */
const lineIntervalMs = 10_000;

/** Catches what no code expected, at the edge of work that a timer, a socket or a request starts. */
export type ErrorBarrier = {
	/** Logs and counts an error that was caught elsewhere. */
	readonly record: (place: string, error: unknown) => void;
	/** Runs an action; errors that it throws, or rejects with, are recorded and go no further. */
	readonly run: (place: string, action: () => unknown) => void;
};

/** Where the errors go. */
export type ErrorBarrierOptions = {
	readonly logger: Logger;
	readonly nowMs: () => number;
	readonly unexpectedErrors?: Pick<ProcessMetrics['unexpectedErrors'], 'inc'>;
};

type PlaceState = {
	lastLineMs: number;
	unlogged: number;
};

/** Creates a barrier; `place` is to be one of a fixed set of names, since it labels a metric. */
export const createErrorBarrier = ({logger, nowMs, unexpectedErrors}: ErrorBarrierOptions): ErrorBarrier => {
	const places = new Map<string, PlaceState>();

	const record = (place: string, error: unknown): void => {
		unexpectedErrors?.inc({place});
		const state = places.get(place) ?? {lastLineMs: Number.NEGATIVE_INFINITY, unlogged: 0};
		places.set(place, state);
		if (nowMs() - state.lastLineMs < lineIntervalMs) {
			state.unlogged++;
			return;
		}

		const {unlogged} = state;
		state.lastLineMs = nowMs();
		state.unlogged = 0;
		logger.error('unexpected error', {
			place, error: error instanceof Error ? error.stack : String(error), unlogged, ...describeProcess(),
		});
	};

	return {
		record,
		run(place, action) {
			const settle = async (): Promise<void> => {
				try {
					await action();
				} catch (error) {
					record(place, error);
				}
			};

			void settle();
		},
	};
};
