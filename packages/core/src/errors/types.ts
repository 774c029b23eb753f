/** The kinds of errors that a caller can receive, and how they are answered. */

/** Whether a refused request ran on a backend server. */
export type RunOutcome = 'not-run' | 'ran' | 'unknown';

/** Every kind of refusal or failure that is reported to callers. */
export type ErrorKind
	= | 'malformed-request'
		| 'headers-too-large'
		| 'headers-too-slow'
		| 'no-route'
		| 'key-unknown'
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

/** The answer to a kind of error. */
export type ErrorAnswer = {
	readonly statusCode: number;
	readonly ran: RunOutcome;
	readonly title: string;
	/** Value of `Retry-After`, in seconds; absent where a resend can't succeed. */
	readonly retryAfterSeconds?: number;
};

/** The refusal of one request. */
export type Refusal = {
	readonly kind: ErrorKind;
	/** Outcome of this request, as far as known; may differ from the general value of its kind in `errorAnswers`. */
	readonly ran: RunOutcome;
	/** Shown to the caller unchanged. */
	readonly detail?: string;
};
