/** Idempotency keys, what is remembered of them, and what is decided about a request that carries one. */

import type {Refusal} from '../errors/types.ts';

/** A key that the fleet handed out: it names the only entry process that ever runs it. */
export type IssuedKey = {
	readonly type: 'issued';
	readonly text: string;
	readonly hostId: string;
	readonly incarnation: number;
	/** Time of issue on the clock of the naming entry. */
	readonly issuedAtMs: number;
	readonly lifetimeMs: number;
};

/** A key that the caller made up by itself. */
export type PlainKey = {
	readonly type: 'plain';
	readonly text: string;
};

/** Any idempotency key. */
export type IdempotencyKey = IssuedKey | PlainKey;

/**
 * What the caller says about earlier copies of the request.
 *
 * `first`: no copy was sent before, and none is sent until this one is answered or its
 * deadline passed two seconds ago.
 * `resend`: a copy was sent before. `unmarked`: the caller says nothing.
 */
export type SendMark = 'first' | 'resend' | 'unmarked';

/** A request with an idempotency key, as far as the decision needs it. */
export type AtMostOnceRequest = {
	readonly key: IdempotencyKey;
	readonly workspace: string;
	/** Method and path; a key is good for one of these only. */
	readonly fingerprint: string;
	readonly mark: SendMark;
	/** True when another entry passed the request on. */
	readonly forwarded: boolean;
	/** Time on the local clock after which the request must not be written. */
	readonly deadlineMs: number;
	/** Lifetime of a plain key, from the record of the service. */
	readonly lifetimeMs: number;
};

/** A complete answer of a backend server, kept for resends. */
export type StoredAnswer = {
	readonly statusCode: number;
	/** Names and values in turn, as received. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

/** The permission to run one request, held from the decision to the outcome. */
export type AtMostOnceTicket = {
	/** Identifies the remembered key. */
	readonly id: string;
	readonly incarnation: number;
	/** Time on the local clock after which the request must not be written. */
	readonly writeUntilMs: number;
};

/** How a permitted run ended. */
export type AtMostOnceOutcome
	= | {
		/** Nothing was written, or the backend server said that it did not run the request. */
		readonly type: 'not-run';
	}
	| {
		readonly type: 'ran';
		/** Absent when the answer was too large to keep. */
		readonly answer?: StoredAnswer;
	}
	| {
		/** Written, and no complete answer came. */
		readonly type: 'unknown';
	};

/** An entry process that owns a key. */
export type KeyOwner = {
	readonly hostId: string;
	/** Absent for a plain key, whose owner is a host. */
	readonly incarnation?: number;
};

/** What to do with a request that carries an idempotency key. */
export type AtMostOnceDecision
	= | {readonly type: 'run'; readonly ticket: AtMostOnceTicket}
		| {
			/** The same request is in flight here; answer with its outcome. */
			readonly type: 'wait';
			readonly id: string;
		}
		| {readonly type: 'replay'; readonly id: string; readonly answer: StoredAnswer}
		| {
			readonly type: 'forward';
			readonly owner: KeyOwner;
			/** What the owner is told; a first send that may have lain unread is passed on without its mark. */
			readonly mark: SendMark;
		}
		| {readonly type: 'refuse'; readonly refusal: Refusal};

/** Whether a permitted request may be written now. */
export type WriteDecision
	= | {readonly type: 'write'}
		| {readonly type: 'refuse'; readonly refusal: Refusal};

/** Settings of the memory for idempotency keys. */
export type AtMostOnceOptions = {
	/** @default 16384 */
	readonly maxKeys?: number;
	/** Keys, answers and their bookkeeping together. @default 8388608 */
	readonly maxBytes?: number;
	/** Largest answer kept, headers included. @default 65536 */
	readonly maxAnswerBytes?: number;
	/** Share of `maxKeys` that one workspace may hold, from 0 to 1. @default 0.5 */
	readonly workspaceShare?: number;
	/** Longest lifetime of a key. @default 3600000 */
	readonly maxLifetimeMs?: number;
	/** How far the issue time of a key may lie ahead of the local clock. @default 60000 */
	readonly issueAheadMs?: number;
	/** How much longer than its lifetime a plain key is kept, for copies under way. @default 60000 */
	readonly plainMarginMs?: number;
	/** How long a process runs before it owns plain keys, so that all entries know it. @default 10000 */
	readonly ownerSettleMs?: number;
	/** Longest pause of the process after which arrival times are still believed. @default 5000 */
	readonly pauseToleranceMs?: number;
	/** Longest pause of the process after which the mark of a first send is still believed. @default 1000 */
	readonly markToleranceMs?: number;
	/** How long arrival times are doubted after a longer pause. @default 1000 */
	readonly doubtMs?: number;
};

/** Settings with every default filled in. */
export type AtMostOnceConfig = Required<AtMostOnceOptions>;
