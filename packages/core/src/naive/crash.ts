/** Naive reference for the crash history, for tests and experiments: it records nothing. */

import type {CrashHistory} from '../crash/index.ts';

/** Creates a history that never suspects a request. */
export const createNaiveCrashHistory = (): CrashHistory => ({
	record: () => true,
	recordAnswer() {
		// Nothing is recorded.
	},
	withdraw() {
		// Nothing is recorded.
	},
	placementOf: () => ({type: 'anywhere'}),
	size: () => 0,
});
