/**
 * Priority queue of the requests that wait for a slot.
 *
 * Order: by rank, then callers that were rejected before, since a second rejection costs them both tries, then the
 * workspaces in proportion to their usual shares, then by the end of the objective. Requests without a workspace share
 * one place among the workspaces.
 */

import {createFairStart, type FairStart} from './fair-start.ts';
import type {DispatchRequest} from './types.ts';
import {createUsualShares} from './usual-share.ts';

/** The waiting requests of one service. */
export type WaitQueue<Request extends DispatchRequest> = {
	/** Counts a caller's request to the usual ones of its workspace. */
	readonly recordArrival: (request: Request, nowMs: number) => void;
	/** Records that a request, whether it waited or not, is sent. */
	readonly recordStart: (request: Request) => void;
	/** Adds a request that is to start by `latestStartMs`. */
	readonly add: (request: Request, latestStartMs: number, nowMs: number) => void;
	readonly remove: (request: Request) => boolean;
	/** Waiting requests, the next one first. */
	readonly inOrder: () => readonly Request[];
	/** Waiting requests that go before `request`, the next one first. */
	readonly before: (request: Request) => readonly Request[];
	/** Time since the request was added; 0 when it is not waiting. */
	readonly waitedMs: (request: Request, nowMs: number) => number;
	/** True when others were put before a waiting request and its expected start, which is costly to tell, is after its latest one. */
	readonly isDisplaced: (request: Request, expectedStartMs: () => number) => boolean;
	readonly length: () => number;
	/** Number of workspaces with waiting requests. */
	readonly workspaces: () => number;
	/** True once requests name workspaces. */
	readonly isShared: () => boolean;
};

type Waiting = {
	readonly addedAtMs: number;
	readonly latestStartMs: number;
	/** Whether requests of the same rank and another workspace were put before it. */
	isOvertaken: boolean;
};

type Ordered<Request> = {
	readonly request: Request;
	/** Virtual start among the workspaces of its rank. */
	readonly start: number;
};

const noWorkspace = '';

/** Negative when `left` goes before `right`, whatever their workspaces. */
const compareUrgency = (left: DispatchRequest, right: DispatchRequest): number =>
	left.rank - right.rank
	|| Number(right.isReturning) - Number(left.isReturning)
	|| left.objectiveAtMs - right.objectiveAtMs;

const compareOrdered = (left: Ordered<DispatchRequest>, right: Ordered<DispatchRequest>): number =>
	left.request.rank - right.request.rank
	|| Number(right.request.isReturning) - Number(left.request.isReturning)
	|| left.start - right.start
	|| left.request.objectiveAtMs - right.request.objectiveAtMs;

/** Creates an empty queue. */
export const createWaitQueue = <Request extends DispatchRequest>(): WaitQueue<Request> => {
	/** By urgency. */
	const urgent: Request[] = [];
	const waiting = new Map<Request, Waiting>();
	const usualShares = createUsualShares();
	const fairStarts = new Map<number, FairStart>();
	/** False until a request names a workspace: the order is that of urgency then. */
	let isShared = false;

	const fairStartOf = (rank: number): FairStart => {
		const known = fairStarts.get(rank);
		if (known !== undefined) {
			return known;
		}

		const created = createFairStart(usualShares);
		fairStarts.set(rank, created);
		return created;
	};

	const insertByUrgency = (requests: Request[], request: Request): void => {
		const place = requests.findIndex(other => compareUrgency(request, other) < 0);
		requests.splice(place === -1 ? requests.length : place, 0, request);
	};

	/** Orders requests that are sorted by urgency. */
	const toFairOrder = (requests: readonly Request[]): readonly Request[] => {
		if (!isShared || requests.length < 2) {
			return requests;
		}

		const counts = new Map<FairStart, Map<string, number>>();
		const ordered = requests.map((request): Ordered<Request> => {
			const {rank, workspace = noWorkspace} = request;
			const fairStart = fairStartOf(rank);
			const byWorkspace = counts.get(fairStart) ?? new Map<string, number>();
			counts.set(fairStart, byWorkspace);
			const ahead = byWorkspace.get(workspace) ?? 0;
			byWorkspace.set(workspace, ahead + 1);
			return {request, start: fairStart.startOf(workspace, ahead)};
		});
		return ordered.toSorted(compareOrdered).map(({request}) => request);
	};

	const before = (request: Request): readonly Request[] => {
		const withRequest = urgent.filter(other => other !== request);
		insertByUrgency(withRequest, request);
		const order = toFairOrder(withRequest);
		return order.slice(0, order.indexOf(request));
	};

	return {
		recordArrival({workspace}, nowMs) {
			isShared ||= workspace !== undefined;
			if (isShared) {
				usualShares.record(workspace ?? noWorkspace, nowMs);
			}
		},
		recordStart({rank, workspace}) {
			if (isShared) {
				fairStartOf(rank).recordStart(workspace ?? noWorkspace);
			}
		},
		add(request, latestStartMs, nowMs) {
			waiting.set(request, {addedAtMs: nowMs, latestStartMs, isOvertaken: false});
			insertByUrgency(urgent, request);
			const order = toFairOrder(urgent);
			for (const other of order.slice(order.indexOf(request) + 1)) {
				waiting.get(other)!.isOvertaken ||= other.rank === request.rank && other.workspace !== request.workspace;
			}
		},
		remove(request) {
			const place = urgent.indexOf(request);
			if (place === -1) {
				return false;
			}

			urgent.splice(place, 1);
			waiting.delete(request);
			return true;
		},
		inOrder: () => [...toFairOrder(urgent)],
		before,
		waitedMs: (request, nowMs) => nowMs - (waiting.get(request)?.addedAtMs ?? nowMs),
		isDisplaced(request, expectedStartMs) {
			const added = waiting.get(request);
			return added !== undefined && added.isOvertaken && expectedStartMs() > added.latestStartMs;
		},
		length: () => urgent.length,
		workspaces: () => new Set(urgent.flatMap(({workspace}) => workspace ?? [])).size,
		isShared: () => isShared,
	};
};
