/**
 * Order of the requests on one connection of a caller, which may send further ones before earlier ones are answered (pipelining).
 *
 * Answers are sent in the order of the requests. Requests that may run more than once are processed concurrently. A request that may run
 * at most once starts when all earlier ones are answered, and nothing starts behind it: callers send everything again that is behind an
 * answer that closes the connection. For the same reason an answer does not close the connection while a later request is in progress.
 *
 * Load pattern: a caller that sends many requests at once takes a bounded number of instances and a bounded amount of memory.
 */

import {maxConcurrentRequests, maxReadAheadBytes, maxReadAheadRequests} from './constants.ts';

/** What happens to a request. */
export type RequestEffect
	/** It is answered without being sent to an instance. */
	= | 'none'
	/** It is sent to instances and may run more than once. */
		| 'repeatable'
	/** It is sent to instances and may run at most once. */
		| 'at-most-once';

/** Unanswered requests of one connection. */
export type RequestPipeline<Request extends object> = {
	/** Adds a request that was read behind all others; `isLast` if its answer closes the connection, whatever it is. */
	readonly add: (request: Request, isLast: boolean) => void;
	/** Records what happens to a request, unless that is known; later ones wait until it is. */
	readonly classify: (request: Request, effect: RequestEffect) => void;
	readonly recordBody: (request: Request, bodyBytes: number) => void;
	/** Requests that may be sent to an instance from now on, in their order; each is returned once. */
	readonly takeStartable: () => readonly Request[];
	/** The request whose answer is due. */
	readonly current: () => Request | undefined;
	/**
	 * Decides whether the answer to a request closes the connection, which `isWanted` asks for; to be called before the answer is sent.
	 * Nothing starts behind it after a positive decision.
	 */
	readonly decideClose: (request: Request, isWanted: boolean) => boolean;
	/** Removes the current request after its answer was sent; `isEnded` if the connection is closed behind it, whatever was decided. */
	readonly finishCurrent: (isEnded: boolean) => void;
	readonly unanswered: () => readonly Request[];
	/** Whether an answer has closed the connection, so that the remaining requests count as not read. */
	readonly isClosed: () => boolean;
	/** Whether nothing more should be read from the connection for now. */
	readonly isReadAheadFull: () => boolean;
};

type Entry<Request> = {
	readonly request: Request;
	isLast: boolean;
	effect?: RequestEffect;
	isStarted: boolean;
	bodyBytes: number;
};

/** Creates the pipeline of a new connection. */
export const createRequestPipeline = <Request extends object>(): RequestPipeline<Request> => {
	let entries: ReadonlyArray<Entry<Request>> = [];
	let isClosed = false;

	const find = (request: Request): Entry<Request> | undefined => entries.find(entry => entry.request === request);

	const startable = (): ReadonlyArray<Entry<Request>> => {
		const found: Array<Entry<Request>> = [];
		for (const [index, entry] of entries.slice(0, maxConcurrentRequests).entries()) {
			const mayStart = entry.effect === 'repeatable' || (entry.effect === 'at-most-once' && index === 0);
			if (mayStart && !entry.isStarted) {
				found.push(entry);
			}

			if (entry.effect === undefined || entry.effect === 'at-most-once' || entry.isLast) {
				break;
			}
		}

		return found;
	};

	return {
		add(request, isLast) {
			entries = [...entries, {
				request, isLast, isStarted: false, bodyBytes: 0,
			}];
		},
		classify(request, effect) {
			const entry = find(request);
			if (entry !== undefined) {
				entry.effect ??= effect;
			}
		},
		recordBody(request, bodyBytes) {
			const entry = find(request);
			if (entry !== undefined) {
				entry.bodyBytes = bodyBytes;
			}
		},
		takeStartable() {
			const found = isClosed ? [] : startable();
			for (const entry of found) {
				entry.isStarted = true;
			}

			return found.map(({request}) => request);
		},
		current: () => isClosed ? undefined : entries[0]?.request,
		decideClose(request, isWanted) {
			const entry = find(request);
			if (entry === undefined || isClosed) {
				return true;
			}

			entry.isLast ||= isWanted && !entries.slice(entries.indexOf(entry) + 1).some(({isStarted}) => isStarted);
			return entry.isLast;
		},
		finishCurrent(isEnded) {
			const [current, ...later] = entries;
			isClosed ||= isEnded || current?.isLast === true;
			entries = later;
		},
		unanswered: () => entries.map(({request}) => request),
		isClosed: () => isClosed,
		isReadAheadFull: () => entries.length >= maxReadAheadRequests
			|| entries.reduce((sumBytes, {bodyBytes}) => sumBytes + bodyBytes, 0) >= maxReadAheadBytes,
	};
};
