/** What becomes of an error that nothing caught. */

import process from 'node:process';
import type {ErrorBarrier} from './error-barrier.ts';

/**
 * Records errors that nothing caught, and goes on. All requests in progress would be lost with the process, and what caused the error
 * would meet the next one; what is in doubt after it is the work in which it arose. `errors` is asked for at each error.
 */
export const surviveUncaught = (errors: () => ErrorBarrier): void => {
	process.on('uncaughtException', (error: unknown, origin) => {
		errors().record(origin, error);
	});
};
