/** Faults of an instance, and what the backend stand-in has seen. */

/** Which direction of a cut is lost; the other still passes. */
export type CutDirection = 'requests' | 'answers' | 'both';

/** How an instance misbehaves. Faults of different types hold side by side; `ok` ends them all. */
export type InstanceFault
	= | {readonly type: 'ok'}
		/** Work starts and does not go on until the fault ends; `/healthz` answers as ever. */
		| {readonly type: 'stall'; readonly share: number}
		| {readonly type: 'slow'; readonly delayMs: number; readonly share: number}
		/** Work runs and is answered with 500. */
		| {readonly type: 'errorRate'; readonly share: number}
		/** Stalls for one period and is sound for the next. */
		| {readonly type: 'flap'; readonly periodMs: number}
		/** New connections are refused; those open go on. */
		| {readonly type: 'refuseConnect'}
		/** The listener and all connections are closed. */
		| {readonly type: 'down'}
		/** Work runs, then the connection is reset in place of the answer. */
		| {readonly type: 'resetAfterWrite'; readonly share: number}
		/** Half of the answer's bytes are sent, then the connection ends. */
		| {readonly type: 'halfAnswer'; readonly share: number}
		/** More bytes are sent than the answer's length says. */
		| {readonly type: 'longAnswer'; readonly share: number}
		/** A request whose path contains `pathPart` takes the instance down for `restartMs`. */
		| {readonly type: 'crash'; readonly pathPart: string; readonly restartMs: number}
		| {readonly type: 'lieHealthy'}
		| {readonly type: 'lieSick'}
		/** Nothing passes in `direction` to or from these source addresses. */
		| {readonly type: 'cut'; readonly sources: readonly string[]; readonly direction: CutDirection}
		/** New work is refused with 503 and `x-draining: true`; work in flight ends. */
		| {readonly type: 'drain'}
		/** All new work is shed with 503. */
		| {readonly type: 'shed'};

/** Type of a fault. */
export type InstanceFaultType = InstanceFault['type'];

/** One run of work that is counted: its work id, sending and place. */
export type Run = {
	/** Value of `x-work-id`. */
	readonly workId: string;
	/** Value of `x-request-id`: one sending of the work. */
	readonly requestId: string;
	readonly instance: string;
	readonly atMs: number;
	/** Remaining time that the entry passed on; absent where there was none. */
	readonly deadlineMs?: number;
};

/** What one instance has seen. */
export type InstanceCounts = {
	/** Requests other than probes that arrived. */
	readonly requests: number;
	/** Requests that were run. */
	readonly runs: number;
	readonly cancelled: number;
	readonly shed: number;
	readonly refusedDraining: number;
	/** First answer that said that the instance drains; 0 before it. */
	readonly firstRefusedDrainingAtMs: number;
	readonly crashes: number;
	readonly probes: number;
	readonly connects: number;
	readonly inFlight: number;
	readonly lastRequestAtMs: number;
};
