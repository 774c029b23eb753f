/** What the gateway needs from the platform it runs on. */

import type {Coverage, FleetConfig, InstanceEntry} from '@egretwing/core';
import type {Result} from 'ts-results-es';

/** Why a call to the store failed. */
export type StoreFailure
	/** The connection could not be opened, or it broke. */
	= | 'unreachable'
	/** No answer in time. */
		| 'silent'
	/** The store rejected the call. */
		| 'turned-away'
	/** The store no longer holds the changes asked for. */
		| 'history-gone'
	/** The store has come back from an older copy since the revision that the call continued from, or while it was read. */
		| 'era-changed'
	/** The answer is older than the store's return from an older copy, which is known. */
		| 'outdated'
	/** The answer can't be decoded. */
		| 'undecodable';

/** An entry of the store that can't be decoded, and why. */
export type RefusedEntry = {
	readonly key: string;
	readonly revision: number;
	readonly reason: string;
};

/** Result of a call to the store. */
export type StoreRead = {
	/** The newest configuration in the answer, if any. */
	readonly config?: FleetConfig;
	readonly entries: readonly InstanceEntry[];
	readonly refused: readonly RefusedEntry[];
	/** Order (`toStoreOrder`) to watch from. */
	readonly asOf: number;
	/** In a full read just after the store has come back from an older copy: time for which instances that are missing from it may still be used. */
	readonly missingUsableForMs?: number;
};

/** What a reader has read. */
export type CoveredRead = StoreRead & {
	/** The changes that the entries hold. */
	readonly coverage: Coverage;
};

/** Part of the store that is read. */
export type StoreTopic = 'config' | 'instances';

/** Client of the platform's store. */
export type StoreClient = {
	/** Reads a whole topic, at least as new as at the time of the call. */
	readonly readAll: (topic: StoreTopic) => Promise<Result<StoreRead, StoreFailure>>;
	/** Waits up to `waitMs` for changes after an order of the store. */
	readonly watch: (topic: StoreTopic, afterOrder: number, waitMs: number) => Promise<Result<StoreRead, StoreFailure>>;
	readonly close: () => void;
};

/** Names of the headers between callers, gateways and instances; in lower case. */
export type HeaderNames = {
	readonly requestId: string;
	/** Time that the sender, a caller or the gateway, still waits for the answer, in milliseconds. */
	readonly deadlineMs: string;
	/** Id of the instance that a request is addressed to. */
	readonly targetInstance: string;
	/** In an answer: the instance did not run the request. */
	readonly notExecuted: string;
	/** In an answer: proves that the instance produced it. */
	readonly signature: string;
	/** In an answer: `1` when the instance is leaving and wants no new requests. */
	readonly leaving: string;
	/** In a request to an instance: name of the workspace whose access key the caller sent. */
	readonly workspace: string;
};

/** Default header names, for platforms without names of their own. */
export const defaultHeaderNames: HeaderNames = {
	requestId: 'egretwing-request-id',
	deadlineMs: 'egretwing-deadline-ms',
	targetInstance: 'egretwing-target-instance',
	notExecuted: 'egretwing-not-executed',
	signature: 'egretwing-signature',
	leaving: 'egretwing-leaving',
	workspace: 'egretwing-workspace',
};
