/** Opens listeners whose port may still be held by another socket, such as that of a process that has just been killed. */

import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from './logger.ts';

/** Pause between two attempts to bind a port. */
const retryIntervalMs = 100;

/** Time between two log lines on a port that stays in use. */
const logIntervalMs = 10_000;

/** Errors of a bind that end when another socket is closed, or when the address of the machine is set up. */
const transientCodes: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Options of `openWhenFree`. */
export type OpenWhenFreeOptions = {
	/** Name of the listener in the log. */
	readonly listener: string;
	readonly logger: Logger;
	/** Ends the wait. */
	readonly signal?: AbortSignal;
};

/**
 * Calls `open` again until its port is free, since a process that ends instead is started again and ends again. Resolves with
 * `undefined` when `signal` aborts before; rejects with any other error of `open`, which has to close what it opened.
 */
export const openWhenFree = async <T>(open: () => Promise<T>, {listener, logger, signal}: OpenWhenFreeOptions): Promise<T | undefined> => {
	for (let attempt = 0; signal?.aborted !== true; attempt++) {
		try {
			const opened = await open();
			if (attempt > 0) {
				logger.info('port free', {listener, waitedMs: attempt * retryIntervalMs});
			}

			return opened;
		} catch (error) {
			const {code, message} = error as NodeJS.ErrnoException;
			if (!transientCodes.has(code)) {
				throw error;
			}

			if (attempt % (logIntervalMs / retryIntervalMs) === 0) {
				logger.warn('port in use', {listener, reason: message, waitedMs: attempt * retryIntervalMs});
			}
		}

		await delay(retryIntervalMs);
	}

	return undefined;
};
