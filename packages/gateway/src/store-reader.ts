/**
 * Reads one topic of the platform's store while this gateway is one of its elected readers.
 *
 * Starts with a full read where nothing is known, then watches for changes. Each failure is reported to the fleet, so that
 * another gateway takes over at once. When the store has come back from an older copy, in a later era, it is read in full, and what
 * is missing then or is removed soon after may be written again, as after an outage.
 */

import {eraOf, revisionOf, type InstanceEntry} from '@egretwing/core';
import type {ErrorBarrier, Logger} from '@egretwing/node';
import {
	minLapsingOutageMs, maxWatchGapMs, storeRecoveryMs, storeRetryMs, watchIntervalMs, watchWaitMs,
} from './constants.ts';
import type {GatewayMetrics} from './metrics.ts';
import type {
	CoveredRead, StoreClient, StoreFailure, StoreRead, StoreTopic,
} from './types.ts';

/** Callbacks of a reader. */
export type StoreReaderHooks = {
	readonly isWanted: () => boolean;
	readonly onRead: (topic: StoreTopic, read: CoveredRead, isFull: boolean) => void;
	readonly onReachable: () => void;
	/** `failingForMs` is the time since the store last answered a reader, as far as this one knows. */
	readonly onFailure: (failure: StoreFailure, failingForMs: number) => void;
};

/** Dependencies of a reader. */
export type StoreReaderOptions = StoreReaderHooks & {
	readonly topic: StoreTopic;
	readonly client: StoreClient;
	readonly nowMs: () => number;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	readonly errors: ErrorBarrier;
	/** Order in the store up to which another reader has read; -1 when nothing is known. */
	readonly knownAsOf: () => number;
	/** Order up to which nothing of the topic is missing here, from which to watch; -1 when nothing is known. */
	readonly completeAsOf: () => number;
};

/** A reader of the store. */
export type StoreReader = {
	/** Starts reading if it is wanted; to be called on each tick. */
	readonly tick: () => void;
	/**
	 * For how long the store has answered this reader without a gap in which registrations may have expired; undefined when it has not answered
	 * lately, or has failed since: this reader is excluded for that, and the one that asks must not take it for one that reads.
	 */
	readonly readingForMs: () => number | undefined;
	/** Records for how long another reader has read, so that a failure that concerned this one alone is not taken for an outage of the store. */
	readonly observeOther: (readingForMs: number) => void;
	/** Records a failure of another reader, in whose place this one may be elected before the store is back; `failingForMs` as in `onFailure`. */
	readonly observeOtherFailure: (failingForMs: number) => void;
	/** Records that the store answers another reader again. */
	readonly observeOtherSuccess: () => void;
	readonly stop: () => void;
};

const markLapsed = (entry: InstanceEntry, usableForMs: number): InstanceEntry => entry.record === null ? {...entry, isLapsed: true, usableForMs} : entry;

/** Creates a reader that is idle until it is wanted. */
export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
	const {
		topic, client, nowMs, logger, metrics, errors,
	} = options;
	let isRunning = false;
	let isStopped = false;
	let asOf = -1;
	let needsFullRead = false;
	let lastSuccessMs = Number.NaN;
	/** When the store first answered: this reader may have started just after an outage that it knows nothing of. */
	let firstSuccessMs: number | undefined;
	let hasFailedSince = false;
	let readingSinceMs = Number.NaN;
	let failingSinceMs: number | undefined;
	/** The same from the reports of other readers, while this one does not read. */
	let othersFailingSinceMs: number | undefined;
	let recoveredAtMs = Number.NEGATIVE_INFINITY;
	/** When this reader learned that the store has come back from an older copy. */
	let eraChangedAtMs = Number.NEGATIVE_INFINITY;
	/** Era of the store; -1 when none is known. */
	let era = -1;
	/** Entries that were marked as lapsed since `recoveredAtMs`, without the mark. */
	let lapsedEntries: InstanceEntry[] = [];
	let nextCallMs = 0;
	let callBeganAtMs = 0;
	let knownAsOf = -1;
	/** When any reader last brought a change, and since when changes have come without a gap in which registrations may have expired. */
	let changedAtMs = Number.NEGATIVE_INFINITY;
	let changingSinceMs = Number.NEGATIVE_INFINITY;

	const observeEra = (order: number): void => {
		const previous = era;
		era = Math.max(era, eraOf(order));
		if (previous === -1 || era === previous) {
			return;
		}

		logger.warn('store came back from an older copy', {
			topic, era, previousEra: previous, revision: revisionOf(order),
		});
		metrics.storeEra.set(era);
		metrics.storeEraChanges.inc({topic});
		eraChangedAtMs = nowMs();
		recoveredAtMs = eraChangedAtMs;
		readingSinceMs = eraChangedAtMs;
		lapsedEntries = [];
	};

	const observeKnown = (): void => {
		const known = options.knownAsOf();
		if (known <= knownAsOf) {
			return;
		}

		knownAsOf = known;
		observeEra(known);
		if (nowMs() - changedAtMs >= minLapsingOutageMs) {
			changingSinceMs = nowMs();
		}

		changedAtMs = nowMs();
	};

	/** When the store returned after a failure here; earlier than now where other readers have read since. */
	const returnedAtMs = (): number => nowMs() - changedAtMs < minLapsingOutageMs ? changingSinceMs : nowMs();

	const isReading = (): boolean => nowMs() - lastSuccessMs < maxWatchGapMs;

	/** When the store last answered, if it was being read when the present call began; the begin of the call otherwise. */
	const lastAnsweredMs = (): number => callBeganAtMs - lastSuccessMs < maxWatchGapMs ? lastSuccessMs : callBeganAtMs;

	const outageSinceMs = (): number | undefined => failingSinceMs ?? othersFailingSinceMs;

	/** Returns whether registrations may have expired in the outage that ends now. */
	const endOutage = (): boolean => {
		const isLapsing = nowMs() - (outageSinceMs() ?? nowMs()) >= minLapsingOutageMs;
		if (isLapsing) {
			recoveredAtMs = Math.max(returnedAtMs(), eraChangedAtMs);
			lapsedEntries = [];
		}

		failingSinceMs = undefined;
		othersFailingSinceMs = undefined;
		return isLapsing;
	};

	const isRecovering = (): boolean => nowMs() - recoveredAtMs < storeRecoveryMs;

	const recordSuccess = (): void => {
		if (Number.isNaN(lastSuccessMs) || nowMs() - lastSuccessMs >= maxWatchGapMs) {
			readingSinceMs = nowMs();
		}

		lastSuccessMs = nowMs();
		firstSuccessMs ??= lastSuccessMs;
		hasFailedSince = false;
		const sinceMs = outageSinceMs();
		if (sinceMs === undefined) {
			return;
		}

		logger.info('store regained', {topic, failedForMs: Math.round(nowMs() - sinceMs)});
		if (endOutage()) {
			readingSinceMs = nowMs();
		}

		options.onReachable();
	};

	const recordFailure = (failure: StoreFailure): void => {
		if (failure === 'history-gone' || failure === 'era-changed') {
			logger.warn(failure === 'history-gone' ? 'store history gone' : 'store era changed', {topic, revision: revisionOf(asOf)});
			needsFullRead = true;
			return;
		}

		hasFailedSince = true;
		nextCallMs = nowMs() + storeRetryMs;
		if (failingSinceMs === undefined) {
			failingSinceMs = othersFailingSinceMs ?? lastAnsweredMs();
			logger.warn('store lost', {topic, failure, asOf});
		}

		options.onFailure(failure, nowMs() - failingSinceMs);
	};

	const applyRead = (read: StoreRead, sinceAsOf: number): void => {
		const isFull = sinceAsOf === -1;

		for (const refused of read.refused) {
			logger.warn('store entry refused', refused);
		}

		asOf = Math.max(asOf, read.asOf);
		observeEra(asOf);
		const coverage = {sinceAsOf, asOf: read.asOf, ...(isFull && {lapsesUntilMs: Math.max(recoveredAtMs, firstSuccessMs ?? nowMs()) + storeRecoveryMs})};
		if (!isRecovering()) {
			options.onRead(topic, {...read, coverage}, isFull);
			return;
		}

		lapsedEntries.push(...read.entries.filter(({record}) => record === null));
		// One deadline for all: an instance that is removed late in the recovery must not be used longer than after a removal without an outage.
		const usableForMs = recoveredAtMs + storeRecoveryMs - nowMs();
		options.onRead(topic, {
			...read,
			coverage,
			entries: read.entries.map(entry => markLapsed(entry, usableForMs)),
			...(isFull && {missingUsableForMs: usableForMs}),
		}, isFull);
	};

	/** Whether a full read shows the store before its return from an older copy, which is known already. */
	const isOutdated = (read: StoreRead): boolean => eraOf(read.asOf) < eraOf(Math.max(asOf, options.knownAsOf()));

	const callStore = async (): Promise<void> => {
		const from = Math.max(asOf, options.completeAsOf());
		// A watch returns every version written since; a full read returns only the newest.
		const isResumed = topic === 'config' && nowMs() - lastSuccessMs >= maxWatchGapMs;
		const isFull = needsFullRead || from === -1 || isResumed;
		nextCallMs = nowMs() + (isFull ? 0 : watchIntervalMs);
		// After a failure the answer shows when the store is back, and must not wait for a change.
		const waitMs = outageSinceMs() === undefined ? watchWaitMs : 0;
		callBeganAtMs = nowMs();
		const result = isFull ? await client.readAll(topic) : await client.watch(topic, from, waitMs);
		metrics.storeCalls.inc({topic, result: result.isErr() ? result.error : 'ok'});
		if (isStopped) {
			return;
		}

		if (result.isErr()) {
			recordFailure(result.error);
			return;
		}

		if (isFull && isOutdated(result.value)) {
			recordFailure('outdated');
			return;
		}

		recordSuccess();
		needsFullRead = false;
		applyRead(result.value, isFull ? -1 : from);
	};

	const mayRead = (): boolean => !isStopped && nowMs() >= nextCallMs && options.isWanted();

	const run = async (): Promise<void> => {
		isRunning = true;
		try {
			while (mayRead()) {
				await callStore();
			}
		} catch (error) {
			errors.record('store-reader', error);
			// What was read may not have been applied. Another reader takes over, as from one that the store does not answer.
			needsFullRead = true;
			errors.run('store-reader', () => {
				recordFailure('undecodable');
			});
		} finally {
			isRunning = false;
		}
	};

	return {
		tick() {
			observeKnown();
			if (!isRunning && mayRead()) {
				void run();
			}
		},
		readingForMs: () => isReading() && !hasFailedSince ? nowMs() - readingSinceMs : undefined,
		observeOther(readingForMs) {
			// All readers face the same return from an older copy, which another one may not have noticed yet.
			if (!isRecovering() || recoveredAtMs === eraChangedAtMs) {
				return;
			}

			recoveredAtMs = Math.min(recoveredAtMs, nowMs() - readingForMs);
			if (!isRecovering() && lapsedEntries.length > 0) {
				options.onRead(topic, {
					entries: lapsedEntries, refused: [], asOf, coverage: {sinceAsOf: asOf, asOf},
				}, false);
				lapsedEntries = [];
			}
		},
		observeOtherFailure(failingForMs) {
			if (!isReading()) {
				othersFailingSinceMs ??= nowMs() - failingForMs;
			}
		},
		observeOtherSuccess() {
			if (!isRunning) {
				endOutage();
			}
		},
		stop() {
			isStopped = true;
		},
	};
};
