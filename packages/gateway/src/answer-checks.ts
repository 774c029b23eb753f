/** Decides whether an answer of an instance can be taken for one to the request. */

import type http from 'node:http';
import {isFinalStatusCode} from '@egretwing/node';
import {firstServerErrorStatusCode, misdirectedStatusCode, unavailableStatusCode} from './status-codes.ts';
import type {HeaderNames} from './types.ts';

/** Why a request that was sent has no usable answer: nothing arrived, a part of one, or bytes that are none to the request. */
export type BrokenCause = 'no-answer' | 'cut' | 'invalid';

/** Tells the end of a connection from bytes that can't be parsed. */
export const causeOf = (error: NodeJS.ErrnoException, arrivedBytes: number): BrokenCause => {
	const isUnparsable = error.code?.startsWith('HPE_') === true && error.code !== 'HPE_INVALID_EOF_STATE';
	if (isUnparsable) {
		return 'invalid';
	}

	return arrivedBytes > 0 ? 'cut' : 'no-answer';
};

/** Whether an answer states that the instance did not run the request. */
export const isNotExecuted = (answer: http.IncomingMessage, names: HeaderNames): boolean =>
	answer.statusCode === misdirectedStatusCode || answer.headers[names.notExecuted] !== undefined;

/** Why an answer can't belong to the request; undefined when it does. */
export const findForeign = (answer: http.IncomingMessage, requestId: string | undefined, names: HeaderNames, isReused: boolean): string | undefined => {
	const echoedId = answer.headers[names.requestId];
	const isNamed = echoedId !== undefined && echoedId !== '';
	// A refusal may come from a component that does not know the request id; on a reused connection it may be a repeated earlier one.
	const isOwn = isNamed ? echoedId === requestId : requestId === undefined || (isNotExecuted(answer, names) && !isReused);
	if (isOwn) {
		return undefined;
	}

	return isNamed ? `answer to another request: ${String(echoedId)}` : 'answer that names no request';
};

/** Why an answer to the request can't be trusted; undefined when it is acceptable. */
export const findFault = (answer: http.IncomingMessage, names: HeaderNames): string | undefined => {
	const statusCode = answer.statusCode ?? 0;
	if (!isFinalStatusCode(statusCode)) {
		return `answer with the status ${statusCode}, which is none`;
	}

	if (isNotExecuted(answer, names)) {
		return undefined;
	}

	// Without a signature the caller would attribute it to the gateway: a success, a final refusal, or a promise that nothing ran.
	const isMisleading = statusCode < firstServerErrorStatusCode || statusCode === unavailableStatusCode;
	if (isMisleading && answer.headers[names.signature] === undefined) {
		return `answer ${statusCode} without the signature of the instance`;
	}

	return undefined;
};
