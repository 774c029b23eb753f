/** Shapes of the caller's library. */

import type {Readable} from 'node:stream';
import type {RunOutcome} from '@egretwing/core';

/** Where an agent answers "which addresses should I use?". */
export type LocateAddress = {
	readonly address: string;
	readonly port: number;
};

/** Settings of a client. */
export type ClientOptions = {
	/** Agents to ask; the others are tried when one does not answer. */
	readonly locateAddresses: readonly [LocateAddress, ...LocateAddress[]];
	/**
	 * Workspace named with each request.
	 * @default ""
	 */
	readonly workspace?: string;
	/**
	 * Sends of one request at most, the first one included.
	 * @default 4
	 */
	readonly maxSends?: number;
	/**
	 * Time limit of one send.
	 * @default 5000
	 */
	readonly sendTimeoutMs?: number;
	/**
	 * Pause before a request is sent again.
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
	/** A body that is streamed is made anew for each send. */
	readonly body?: string | Uint8Array | (() => Readable);
	/** True when the request may run more than once. */
	readonly idempotent: boolean;
};

/** How a request ended. */
export type ClientResult
	= | {
		/** The backend server's own answer. */
		readonly type: 'answered';
		readonly statusCode: number;
		readonly headers: Readonly<Record<string, string | string[] | undefined>>;
		/** The caller reads or destroys it; an error on it means that the answer was cut. */
		readonly body: Readable;
		readonly sends: number;
	}
	| {
		/** Refused by the system, or lost. */
		readonly type: 'failed';
		/** Kind of the last refusal; `unreachable` when no entry answered. */
		readonly kind: string;
		readonly ran: RunOutcome;
		readonly sends: number;
	};
