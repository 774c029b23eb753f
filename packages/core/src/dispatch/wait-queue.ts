/**
 * Requests that wait for a slot, in the order in which callers lose least.
 *
 * Answers bursts and overload: the more urgent kind goes first; within it, callers that were rejected before, since a
 * second rejection costs them both tries; then those whose objective ends first.
 */

import type {DispatchRequest} from './types.ts';

/** The waiting requests of one service. */
export type WaitQueue<Request extends DispatchRequest> = {
	readonly add: (request: Request, nowMs: number) => void;
	readonly remove: (request: Request) => boolean;
	/** Waiting requests, the one that goes first at the head. */
	readonly inOrder: () => readonly Request[];
	/** Requests that would go before `request`. */
	readonly countBefore: (request: Request) => number;
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
	const sinceMs = new Map<Request, number>();

	return {
		add(request, nowMs) {
			const place = waiting.findIndex(other => compareUrgency(request, other) < 0);
			waiting.splice(place === -1 ? waiting.length : place, 0, request);
			sinceMs.set(request, nowMs);
		},
		remove(request) {
			const place = waiting.indexOf(request);
			if (place === -1) {
				return false;
			}

			waiting.splice(place, 1);
			sinceMs.delete(request);
			return true;
		},
		inOrder: () => [...waiting],
		countBefore: request => waiting.filter(other => compareUrgency(other, request) <= 0).length,
		waitedMs: (request, nowMs) => nowMs - (sinceMs.get(request) ?? nowMs),
		length: () => waiting.length,
	};
};
