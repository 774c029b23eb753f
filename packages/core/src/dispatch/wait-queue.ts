/**
 * Priority queue of the requests that wait for a slot.
 *
 * Order: by rank, then callers that were rejected before, since a second rejection costs them both tries, then by the
 * end of the objective.
 */

import type {DispatchRequest} from './types.ts';

/** The waiting requests of one service. */
export type WaitQueue<Request extends DispatchRequest> = {
	readonly add: (request: Request, nowMs: number) => void;
	readonly remove: (request: Request) => boolean;
	/** Waiting requests, the next one first. */
	readonly inOrder: () => readonly Request[];
	/** Number of waiting requests that go before `request`. */
	readonly countBefore: (request: Request) => number;
	/** Time since the request was added; 0 when it is not waiting. */
	readonly waitedMs: (request: Request, nowMs: number) => number;
	readonly length: () => number;
};

/** Negative when `left` goes before `right`. */
export const compareUrgency = (left: DispatchRequest, right: DispatchRequest): number =>
	left.rank - right.rank
	|| Number(right.isReturning) - Number(left.isReturning)
	|| left.objectiveAtMs - right.objectiveAtMs;

/** Creates an empty queue. */
export const createWaitQueue = <Request extends DispatchRequest>(): WaitQueue<Request> => {
	const waiting: Request[] = [];
	const enqueuedAtMs = new Map<Request, number>();

	return {
		add(request, nowMs) {
			const place = waiting.findIndex(other => compareUrgency(request, other) < 0);
			waiting.splice(place === -1 ? waiting.length : place, 0, request);
			enqueuedAtMs.set(request, nowMs);
		},
		remove(request) {
			const place = waiting.indexOf(request);
			if (place === -1) {
				return false;
			}

			waiting.splice(place, 1);
			enqueuedAtMs.delete(request);
			return true;
		},
		inOrder: () => [...waiting],
		countBefore: request => waiting.filter(other => compareUrgency(other, request) <= 0).length,
		waitedMs: (request, nowMs) => nowMs - (enqueuedAtMs.get(request) ?? nowMs),
		length: () => waiting.length,
	};
};
