/** Derives a health observation from the outcome of an attempt. */

import type {Observation} from '@egretwing/core';
import type {Headers} from '@egretwing/node';
import type {AttemptOutcome} from './attempt.ts';

/** Response header with which a backend server announces that it is draining. */
const drainingHeader = 'x-draining';
const firstServerError = 500;

/** Times of one attempt. */
export type AttemptTimes = {
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	/** A timeout before this age is no evidence of a stall: the deadline of the caller was short. */
	readonly stallThresholdMs: number;
};

/** True if the response announces that the instance accepts no new requests. */
export const isDrainingResponse = (headers: Headers): boolean => headers[drainingHeader] === 'true';

const neutral: Observation = {kind: 'neutral'};

/** Converts the outcome of an attempt to an observation for the health decisions. */
export const toObservation = (outcome: AttemptOutcome, {startedAtMs, endedAtMs, stallThresholdMs}: AttemptTimes): Observation => {
	const latencyMs = endedAtMs - startedAtMs;
	switch (outcome.type) {
		case 'answered': {
			if (isDrainingResponse(outcome.headers)) {
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
