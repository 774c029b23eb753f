/** What the gateway needs from the platform it runs on. */

import type {FleetConfig, InstanceEntry} from '@egretwing/core';
import type {Result} from 'ts-results-es';

/** Why a call to the store brought nothing. */
export type StoreFailure
	/** No connection, or it broke. */
	= | 'unreachable'
	/** No answer in time. */
		| 'silent'
	/** The store refused the call. */
		| 'turned-away'
	/** The store no longer holds the changes asked for. */
		| 'history-gone'
	/** The answer can't be read. */
		| 'undecodable';

/** An entry of the store that can't be used, and why. */
export type RefusedEntry = {
	readonly key: string;
	readonly revision: number;
	readonly reason: string;
};

/** What a call to the store brought. */
export type StoreRead = {
	/** The newest configuration among what was read. */
	readonly config?: FleetConfig;
	readonly entries: readonly InstanceEntry[];
	readonly refused: readonly RefusedEntry[];
	/** Revision to watch from. */
	readonly asOf: number;
};

/** Which part of the store is read. */
export type StoreTopic = 'config' | 'instances';

/** The only way to the platform's store. */
export type StoreClient = {
	/** Reads everything of a topic, not older than the call. */
	readonly readAll: (topic: StoreTopic) => Promise<Result<StoreRead, StoreFailure>>;
	/** Waits for changes after a revision, `waitMs` at most. */
	readonly watch: (topic: StoreTopic, afterRevision: number, waitMs: number) => Promise<Result<StoreRead, StoreFailure>>;
	readonly close: () => void;
};

/** Names of the headers between callers, gateways and instances; in lower case. */
export type HeaderNames = {
	readonly requestId: string;
	/** Milliseconds that the caller, or the gateway, goes on waiting. */
	readonly deadlineMs: string;
	/** Instance that a request is meant for. */
	readonly targetInstance: string;
	/** On an answer: the instance did not run the request. */
	readonly notExecuted: string;
	/** On an answer: proves that the instance made it. */
	readonly signature: string;
};

/** Header names of the product where the platform has none of its own. */
export const defaultHeaderNames: HeaderNames = {
	requestId: 'egretwing-request-id',
	deadlineMs: 'egretwing-deadline-ms',
	targetInstance: 'egretwing-target-instance',
	notExecuted: 'egretwing-not-executed',
	signature: 'egretwing-signature',
};
