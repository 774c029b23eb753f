/** Errors that no code expected fail the test in which they arise. */

import type {ErrorBarrier} from '@egretwing/node';

/** Lets all errors through. */
export const openBarrier: ErrorBarrier = {
	record(_place, error) {
		throw error;
	},
	run(_place, action) {
		action();
	},
};
