/** What the end of an attempt says about the health of the instance. */

import type {Observation} from '@egretwing/core';
import type {Headers} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';

/** Header by which a backend server says that it is draining. */
const drainingHeader = 'x-draining';
const firstServerError = 500;

/** Times of one attempt. */
export type AttemptTimes = {
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	/** A time-out before this age says nothing: the caller's deadline was short. */
	readonly stallThresholdMs: number;
};

/** True if the answer says that the instance takes no new work. */
export const isDrainingAnswer = (headers: Headers): boolean => headers[drainingHeader] === 'true';

const neutral: Observation = {kind: 'neutral'};

/** Converts an outcome to what the health decisions count. */
export const toObservation = (outcome: AttemptOutcome, {startedAtMs, endedAtMs, stallThresholdMs}: AttemptTimes): Observation => {
	const latencyMs = endedAtMs - startedAtMs;
	switch (outcome.type) {
		case 'answered': {
			if (isDrainingAnswer(outcome.headers)) {
				return neutral;
			}

			return outcome.statusCode >= firstServerError ? {kind: 'failed', startedAtMs} : {kind: 'succeeded', latencyMs};
		}

		case 'not-written': {
			const isUnreachable = outcome.reason === 'connect-failed' || (outcome.reason === 'timeout' && latencyMs >= stallThresholdMs);
			return isUnreachable ? {kind: 'connect-failed', startedAtMs} : neutral;
		}

		case 'shed':
		case 'caller-failed': {
			return neutral;
		}

		case 'unknown': {
			const isShortDeadline = outcome.reason === 'timeout' && latencyMs < stallThresholdMs;
			return isShortDeadline ? neutral : {kind: 'failed', startedAtMs};
		}
	}
};
