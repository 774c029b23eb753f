/** The naive way with crashing requests, as a reference for tests and experiments: it remembers nothing. */

import type {CrashHistory} from '../crash/index.ts';

/** Creates a memory that never suspects a request. */
export const createNaiveCrashMemory = (): CrashHistory => ({
	record: () => true,
	recordAnswer() {
		// Nothing is remembered.
	},
	withdraw() {
		// Nothing is remembered.
	},
	placementOf: () => ({type: 'anywhere'}),
	size: () => 0,
});
