/** The naive way with crashing requests, as a reference for tests and experiments: it remembers nothing. */

import type {CrashMemory} from '../crash/index.ts';

/** Creates a memory that never suspects a request. */
export const createNaiveCrashMemory = (): CrashMemory => ({
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
