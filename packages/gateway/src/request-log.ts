/** Log of requests with one line for each decision; limited in rate, so that a flood of requests does not flood the log. */

import type {Logger} from '@egretwing/node';
import {maxRequestLogLinesPerSecond} from './constants.ts';

const windowMs = 1000;

/** Writes a line about one request. */
export type RequestLog = (event: string, fields: Readonly<Record<string, unknown>>) => void;

/** Creates the log. Lines beyond the rate are dropped, and their count is logged with the first line of the next window. */
export const createRequestLog = (logger: Logger, nowMs: () => number): RequestLog => {
	let windowStartMs = 0;
	let written = 0;
	let dropped = 0;

	return (event, fields) => {
		const timeMs = nowMs();
		if (timeMs - windowStartMs >= windowMs) {
			if (dropped > 0) {
				logger.warn('request log lines dropped', {count: dropped, limitPerSecond: maxRequestLogLinesPerSecond});
			}

			windowStartMs = timeMs;
			written = 0;
			dropped = 0;
		}

		if (written >= maxRequestLogLinesPerSecond) {
			dropped++;
			return;
		}

		written++;
		logger.info(event, fields);
	};
};
