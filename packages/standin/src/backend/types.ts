/** Faults of an instance, and the runs and counts of the backend stand-in. */

/** Direction of traffic that a cut drops; the other still passes. */
export type CutDirection = 'requests' | 'answers' | 'both';

/** Fault of an instance. Faults of different types are active at the same time; `ok` clears them all. */
export type InstanceFault
	= | {readonly type: 'ok'}
		/** Work starts and hangs until the fault ends; `/healthz` answers as usual. */
		| {readonly type: 'stall'; readonly share: number}
		| {readonly type: 'slow'; readonly delayMs: number; readonly share: number}
		/** Work runs and is answered with 500. */
		| {readonly type: 'errorRate'; readonly share: number}
		/** Alternates between one period stalled and one period healthy, stalled first. */
		| {readonly type: 'flap'; readonly periodMs: number}
		/** New connections are refused; open ones stay. */
		| {readonly type: 'refuseConnect'}
		/** The listener and all connections are closed. */
		| {readonly type: 'down'}
		/** Work runs, then the connection is reset in place of the answer. */
		| {readonly type: 'resetAfterWrite'; readonly share: number}
		/** Half of the answer's bytes are sent, then the connection ends. */
		| {readonly type: 'halfAnswer'; readonly share: number}
		/** More bytes are sent than `content-length` says. */
		| {readonly type: 'longAnswer'; readonly share: number}
		/** A request whose path contains `pathPart` takes the instance down for `restartMs`. */
		| {readonly type: 'crash'; readonly pathPart: string; readonly restartMs: number}
		/** `/healthz` and `/loadz` report a healthy instance with nothing in flight. */
		| {readonly type: 'lieHealthy'}
		/** `/healthz` answers 503, and both paths report all slots in use. */
		| {readonly type: 'lieSick'}
		/** Requests from these source addresses, answers to them, or both are dropped. */
		| {readonly type: 'cut'; readonly sources: readonly string[]; readonly direction: CutDirection}
		/** New work is refused with 503 and `x-draining: true`; work in flight ends. */
		| {readonly type: 'drain'}
		/** All new work is shed with 503 and `x-shedding: true`. */
		| {readonly type: 'shed'};

/** Type of a fault. */
export type InstanceFaultType = InstanceFault['type'];

/** One run of work that has an id. */
export type Run = {
	/** Value of `x-work-id`. */
	readonly workId: string;
	/** Value of `x-request-id`, which identifies one attempt at the work. */
	readonly requestId: string;
	readonly instance: string;
	readonly atMs: number;
	/** Remaining time that the entry passed on; absent when it sent none. */
	readonly deadlineMs?: number;
};

/** Counts of one instance since the stand-in started; a restart of the instance does not reset them. */
export type InstanceCounts = {
	/** Requests that arrived, without probes. */
	readonly requests: number;
	/** Requests that were run. */
	readonly runs: number;
	readonly cancelled: number;
	readonly shed: number;
	readonly refusedDraining: number;
	/** Time of the first answer that reported draining; 0 before it. */
	readonly firstRefusedDrainingAtMs: number;
	readonly crashes: number;
	readonly probes: number;
	readonly connects: number;
	readonly inFlight: number;
	readonly lastRequestAtMs: number;
};
