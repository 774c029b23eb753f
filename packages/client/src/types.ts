/** Types of the client library. */

import type {Readable} from 'node:stream';
import type {RunOutcome} from '@egretwing/core';

/** Address at which an agent answers locate requests. */
export type LocateAddress = {
	readonly address: string;
	readonly port: number;
};

/** Settings of a client. */
export type ClientOptions = {
	/** Agents to ask; the next one is tried when one does not answer. */
	readonly locateAddresses: readonly [LocateAddress, ...LocateAddress[]];
	/**
	 * Workspace that each request is sent for.
	 * @default ""
	 */
	readonly workspace?: string;
	/**
	 * Maximum number of attempts per request, the first one included.
	 * @default 4
	 */
	readonly maxSends?: number;
	/**
	 * Timeout of one attempt, until the headers of the answer.
	 * @default 5000
	 */
	readonly sendTimeoutMs?: number;
	/**
	 * Delay before a retry.
	 * @default 50
	 */
	readonly resendDelayMs?: number;
};

/** One request. */
export type ClientRequest = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** A function is called for a new stream on each attempt. */
	readonly body?: string | Uint8Array | (() => Readable);
	/** True when the request may run more than once. */
	readonly idempotent: boolean;
};

/** How a request ended. */
export type ClientResult
	= | {
		/** Answer of the backend server. */
		readonly type: 'answered';
		readonly statusCode: number;
		readonly headers: Readonly<Record<string, string | string[] | undefined>>;
		/** The caller must read or destroy it; an error on it means that the answer was truncated. */
		readonly body: Readable;
		readonly sends: number;
	}
	| {
		/** Refused by the fleet, or no answer arrived. */
		readonly type: 'failed';
		/** Kind of the last refusal; `unreachable` when no entry answered. */
		readonly kind: string;
		readonly ran: RunOutcome;
		readonly sends: number;
	};
