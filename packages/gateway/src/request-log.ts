/** Log lines about requests: one for each decision, bounded in rate so that a flood of requests is no flood of lines. */

import type {Logger} from '@egretwing/node';
import {requestLinesPerSecond} from './constants.ts';

const windowMs = 1000;

/** Writes a line about one request. */
export type RequestLog = (event: string, fields: Readonly<Record<string, unknown>>) => void;

/** Creates the log; lines beyond the rate are counted, and the count is logged with the next window. */
export const createRequestLog = (logger: Logger, nowMs: () => number): RequestLog => {
	let windowStartMs = 0;
	let written = 0;
	let dropped = 0;

	return (event, fields) => {
		const timeMs = nowMs();
		if (timeMs - windowStartMs >= windowMs) {
			if (dropped > 0) {
				logger.warn('request lines dropped', {count: dropped, limitPerSecond: requestLinesPerSecond});
			}

			windowStartMs = timeMs;
			written = 0;
			dropped = 0;
		}

		if (written >= requestLinesPerSecond) {
			dropped++;
			return;
		}

		written++;
		logger.info(event, fields);
	};
};
