/** The clock of a running process. */

import {performance} from 'node:perf_hooks';
import type {Clock} from '@egretwing/core';

/** Creates a monotonic clock whose origin is the start of the process. */
export const createProcessClock = (): Clock => ({
	nowMs: () => performance.now(),
});
