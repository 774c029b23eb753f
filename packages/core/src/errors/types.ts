/** The closed list of error kinds that a caller can be answered with. */

/** Whether the work behind a refused request ran on a backend server. */
export type RunOutcome = 'not-run' | 'ran' | 'unknown';

/** Every way in which the system refuses a request or reports its failure. */
export type ErrorKind
	= | 'malformed-request'
		| 'headers-too-large'
		| 'headers-too-slow'
		| 'no-route'
		| 'request-too-large'
		| 'not-ready'
		| 'draining'
		| 'overloaded'
		| 'workspace-limit'
		| 'queue-timeout'
		| 'deadline-expired'
		| 'no-capacity'
		| 'connect-failed'
		| 'shed-by-backend'
		| 'crash-suspect'
		| 'key-malformed'
		| 'key-mismatch'
		| 'key-memory-full'
		| 'key-expired'
		| 'key-owner-unreachable'
		| 'key-owner-gone'
		| 'answer-not-kept'
		| 'forward-refused'
		| 'answer-unbounded'
		| 'body-incomplete'
		| 'outcome-unknown'
		| 'request-timeout'
		| 'internal-error';

/** How a kind of error is answered. */
export type ErrorAnswer = {
	readonly statusCode: number;
	readonly ran: RunOutcome;
	readonly title: string;
	/** Value of `Retry-After`, in seconds; absent where sending again can't help. */
	readonly retryAfterSeconds?: number;
};

/** A refusal as decided for one request. */
export type Refusal = {
	readonly kind: ErrorKind;
	/** What is known of this request; may differ from the table, which speaks for the kind in general. */
	readonly ran: RunOutcome;
	/** Shown to the caller as it is. */
	readonly detail?: string;
};
