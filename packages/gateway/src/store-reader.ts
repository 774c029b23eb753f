/**
 * Reads one topic of the platform's store while this gateway is one of its readers.
 *
 * A full read comes first where nothing is known, changes are watched afterwards. Each failure is told to the fleet, so
 * that another gateway takes over at once.
 */

import type {InstanceEntry} from '@egretwing/core';
import type {Logger} from '@egretwing/node';
import {
	lapsingOutageMs, resumedReadMs, storeRecoveryMs, storeRetryMs, watchIntervalMs, watchWaitMs,
} from './constants.ts';
import type {GatewayMetrics} from './metrics.ts';
import type {
	StoreClient, StoreFailure, StoreRead, StoreTopic,
} from './types.ts';

/** What a reader tells its gateway. */
export type StoreReaderHooks = {
	readonly isWanted: () => boolean;
	readonly onRead: (topic: StoreTopic, read: StoreRead, isFull: boolean) => void;
	readonly onReachable: () => void;
	readonly onFailure: (failure: StoreFailure) => void;
};

/** What a reader needs. */
export type StoreReaderOptions = StoreReaderHooks & {
	readonly topic: StoreTopic;
	readonly client: StoreClient;
	readonly nowMs: () => number;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** Revision from which to watch when another reader has read before; -1 when nothing is known. */
	readonly knownAsOf: () => number;
};

/** A reader of the store. */
export type StoreReader = {
	/** Looks whether reading is wanted; to be called on each tick. */
	readonly tick: () => void;
	readonly stop: () => void;
};

const markLapsed = (entry: InstanceEntry): InstanceEntry => entry.record === null ? {...entry, isLapsed: true} : entry;

/** Creates a reader that is idle until it is wanted. */
export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
	const {
		topic, client, nowMs, logger, metrics,
	} = options;
	let isRunning = false;
	let isStopped = false;
	let asOf = -1;
	let mustReadAll = false;
	let lastSuccessMs = Number.NaN;
	let failingSinceMs: number | undefined;
	let recoveredAtMs = Number.NEGATIVE_INFINITY;
	let nextCallMs = 0;

	const noteSuccess = (): void => {
		lastSuccessMs = nowMs();
		if (failingSinceMs === undefined) {
			return;
		}

		logger.info('store regained', {topic, failedForMs: Math.round(lastSuccessMs - failingSinceMs)});
		if (lastSuccessMs - failingSinceMs >= lapsingOutageMs) {
			recoveredAtMs = lastSuccessMs;
		}

		failingSinceMs = undefined;
		options.onReachable();
	};

	const noteFailure = (failure: StoreFailure): void => {
		if (failure === 'history-gone') {
			logger.warn('store history gone', {topic, asOf});
			mustReadAll = true;
			return;
		}

		nextCallMs = nowMs() + storeRetryMs;
		if (failingSinceMs === undefined) {
			failingSinceMs = Number.isNaN(lastSuccessMs) ? nowMs() : lastSuccessMs;
			logger.warn('store lost', {topic, failure, asOf});
		}

		options.onFailure(failure);
	};

	const take = (read: StoreRead, isFull: boolean): void => {
		for (const refused of read.refused) {
			logger.warn('store entry refused', refused);
		}

		const isRecovering = nowMs() - recoveredAtMs < storeRecoveryMs;
		options.onRead(topic, isRecovering ? {...read, entries: read.entries.map(entry => markLapsed(entry))} : read, isFull);
		asOf = Math.max(asOf, read.asOf);
	};

	const step = async (): Promise<void> => {
		const from = Math.max(asOf, options.knownAsOf());
		// A watch brings each version written since; the whole is never more than one of them.
		const isResumed = topic === 'config' && nowMs() - lastSuccessMs >= resumedReadMs;
		const isFull = mustReadAll || from === -1 || isResumed;
		nextCallMs = nowMs() + (isFull ? 0 : watchIntervalMs);
		const result = isFull ? await client.readAll(topic) : await client.watch(topic, from, watchWaitMs);
		metrics.storeCalls.inc({topic, result: result.isErr() ? result.error : 'ok'});
		if (isStopped) {
			return;
		}

		if (result.isErr()) {
			noteFailure(result.error);
			return;
		}

		noteSuccess();
		mustReadAll = false;
		take(result.value, isFull);
	};

	const mayRead = (): boolean => !isStopped && nowMs() >= nextCallMs && options.isWanted();

	const run = async (): Promise<void> => {
		isRunning = true;
		while (mayRead()) {
			await step();
		}

		isRunning = false;
	};

	return {
		tick() {
			if (!isRunning && mayRead()) {
				void run();
			}
		},
		stop() {
			isStopped = true;
		},
	};
};
