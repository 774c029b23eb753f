/** Reads what an instance says of itself in the head of an answer, whatever the answer is worth to the caller. */

import type http from 'node:http';
import {maxPauseMs} from './constants.ts';
import {unavailableStatusCode} from './status-codes.ts';
import type {HeaderNames} from './types.ts';

/** What an instance says of itself. */
export type InstanceNotice = {
	readonly isLeaving: boolean;
	/** Time for which it wants no requests from this gateway, more than 0; absent when it does not ask for a pause. */
	readonly pauseMs?: number;
};

const msPerSecond = 1000;

/** A repeated header is joined by commas. */
const leavingValue = /^1(?:\s*,|$)/v;

/** Whole or fractional seconds. A date, which HTTP allows as well, depends on the clock of the instance and is ignored. */
const secondsValue = /^\d+(?:\.\d+)?$/v;

const toPauseMs = (statusCode: number | undefined, retryAfter: string | undefined): number | undefined => {
	if (statusCode !== unavailableStatusCode || retryAfter === undefined || !secondsValue.test(retryAfter.trim())) {
		return undefined;
	}

	const pauseMs = Math.min(maxPauseMs, Number(retryAfter) * msPerSecond);
	return pauseMs > 0 ? pauseMs : undefined;
};

/** Returns undefined when the answer says nothing of the instance. */
export const readNotice = ({statusCode, headers}: Pick<http.IncomingMessage, 'statusCode' | 'headers'>, names: HeaderNames): InstanceNotice | undefined => {
	const isLeaving = leavingValue.test(String(headers[names.leaving] ?? '').trim());
	const pauseMs = toPauseMs(statusCode, headers['retry-after']);
	return isLeaving || pauseMs !== undefined ? {isLeaving, ...(pauseMs !== undefined && {pauseMs})} : undefined;
};
