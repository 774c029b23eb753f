/** Synchronises configuration between agents: pushes changes, compares digests to find missed records, and loads it at the start. */

import {bucketsPerGroup} from '../config/digest.ts';
import type {ConfigStore, MergeReport} from '../config/store.ts';
import {sampleItems, type Random} from '../random.ts';
import {createRecordMessages, maxTextBytes} from './messages.ts';
import {createReadiness} from './readiness.ts';
import type {ConfigMessage, ConfigSend} from './types.ts';

/** Settings of the synchronisation. */
export type ConfigSyncConfig = {
	/**
	 * Number of peers to which each agent that learns of a change pushes it.
	 * @default 4
	 */
	readonly pushFanout?: number;
	/**
	 * Mean interval between comparisons with a random peer.
	 * @default 1000
	 */
	readonly compareIntervalMs?: number;
	/**
	 * Number of peers that a starting agent compares with before it is ready.
	 * @default 3
	 */
	readonly startPeers?: number;
	/**
	 * Time since the start from which a complete configuration is enough, without further peers or the service.
	 * @default 2000
	 */
	readonly startWaitMs?: number;
};

/** Dependencies and settings of the synchronisation. */
export type ConfigSyncOptions = {
	readonly store: ConfigStore;
	readonly random: Random;
	/** Host ids of the peers that are believed to be alive, without this host. */
	readonly peers: () => readonly string[];
	readonly nowMs: number;
	readonly config?: ConfigSyncConfig;
};

/** Result of a step: messages to send and changes made. */
export type SyncStep = {
	readonly sends: readonly ConfigSend[];
	/** Present when records were merged. */
	readonly report?: MergeReport;
};

/** The synchronisation of one agent. */
export type ConfigSync = {
	/** Merges records read from the service; `complete` is true when no further record is waiting there. */
	readonly receiveFeed: (written: readonly unknown[], complete: boolean) => SyncStep;
	/** To be called when the service did not answer or this agent leaves reading it to the relays. */
	readonly recordFeedSkipped: () => void;
	readonly receive: (from: string, message: ConfigMessage) => SyncStep;
	readonly tick: (nowMs: number) => SyncStep;
	/** True once this agent holds a complete configuration; never becomes false again. */
	readonly isReady: () => boolean;
};

const defaults = {
	pushFanout: 4, compareIntervalMs: 1000, startPeers: 3, startWaitMs: 2000,
} as const;

/** Interval between comparisons while the agent is not ready. */
const startIntervalMs = 100;

const differingIndexes = (own: readonly number[], other: readonly number[]): readonly number[] =>
	own.flatMap((digest, index) => digest === other[index] ? [] : [index]);

/** Creates the synchronisation of the store of one agent. */
export const createConfigSync = (options: ConfigSyncOptions): ConfigSync => {
	const {store, random, peers} = options;
	const config = {...defaults, ...options.config};
	const readiness = createReadiness({
		startPeers: config.startPeers, startWaitMs: config.startWaitMs, nowMs: options.nowMs,
	});
	let nextCompareMs = options.nowMs;

	const compareWith = (peer: string): ConfigSend => ({
		to: peer,
		message: {
			type: 'config-root', root: store.rootDigest(), size: store.size(), ready: readiness.isReady(),
		},
	});

	/** Large changes are not pushed: the peer is sent the root digest, compares and fetches what it lacks. */
	const pushTo = (peer: string, texts: readonly string[], length: number): ConfigSend =>
		length > maxTextBytes ? compareWith(peer) : {to: peer, message: {type: 'config-push', texts}};

	/** Pushes changes to random peers, but not before the agent is ready: until then it learns records that its peers already have. */
	const pushChanges = ({changedTexts}: MergeReport, except?: string): readonly ConfigSend[] => {
		if (changedTexts.length === 0 || !readiness.isReady()) {
			return [];
		}

		const length = changedTexts.reduce((sum, text) => sum + text.length, 0);
		const candidates = peers().filter(peer => peer !== except);
		return sampleItems(candidates, config.pushFanout, random).map(peer => pushTo(peer, changedTexts, length));
	};

	const answerRecords = (from: string, buckets: readonly number[], wanted: readonly number[]): SyncStep => {
		const texts = buckets.flatMap(bucket => store.bucketTexts(bucket));
		const messages = createRecordMessages(texts, wanted, readiness.isReady());
		return {sends: messages.map(message => ({to: from, message}))};
	};

	const answerRoot = (from: string, message: ConfigMessage & {type: 'config-root'}): SyncStep => {
		const isSame = message.root === store.rootDigest() && message.size === store.size();
		if (!isSame) {
			return {sends: [{to: from, message: {type: 'config-groups', digests: store.groupDigests()}}]};
		}

		readiness.recordPeer(from, message.ready);
		return {sends: [{to: from, message: {type: 'config-same', ready: readiness.isReady()}}]};
	};

	const answerGroups = (from: string, digests: readonly number[]): SyncStep => {
		const groups = differingIndexes(store.groupDigests(), digests)
			.map(group => ({group, digests: store.bucketDigests(group)}));
		return {sends: [{to: from, message: {type: 'config-buckets', groups}}]};
	};

	const answerBuckets = (from: string, message: ConfigMessage & {type: 'config-buckets'}): SyncStep => {
		const buckets = message.groups.flatMap(({group, digests}) =>
			differingIndexes(store.bucketDigests(group), digests).map(index => (group * bucketsPerGroup) + index));
		return answerRecords(from, buckets, buckets);
	};

	const receiveRecords = (from: string, message: ConfigMessage & {type: 'config-records'}): SyncStep => {
		const report = store.mergeTexts(message.texts);
		if (message.last) {
			readiness.recordPeer(from, message.ready);
		}

		const answer = message.wanted.length > 0 ? answerRecords(from, message.wanted, []).sends : [];
		return {report, sends: [...answer, ...pushChanges(report, from)]};
	};

	return {
		receiveFeed(written, complete) {
			const report = store.merge(written);
			readiness.recordFeed(complete ? 'complete' : 'reading');
			return {report, sends: pushChanges(report)};
		},
		recordFeedSkipped() {
			readiness.recordFeed('skipped');
		},
		receive(from, message) {
			switch (message.type) {
				case 'config-push': {
					const report = store.mergeTexts(message.texts);
					return {report, sends: pushChanges(report, from)};
				}

				case 'config-root': {
					return answerRoot(from, message);
				}

				case 'config-same': {
					readiness.recordPeer(from, message.ready);
					return {sends: []};
				}

				case 'config-groups': {
					return answerGroups(from, message.digests);
				}

				case 'config-buckets': {
					return answerBuckets(from, message);
				}

				case 'config-records': {
					return receiveRecords(from, message);
				}
			}
		},
		tick(nowMs) {
			const live = peers();
			readiness.update(nowMs, live.length, store.size());
			if (nowMs < nextCompareMs) {
				return {sends: []};
			}

			const isStarting = !readiness.isReady();
			const jitter = 0.5 + random.next();
			nextCompareMs = nowMs + (isStarting ? startIntervalMs : config.compareIntervalMs * jitter);
			const candidates = isStarting ? live.filter(peer => !readiness.hasAnswered(peer)) : live;
			const targets = sampleItems(candidates.length > 0 ? candidates : live, 1, random);
			return {sends: targets.map(peer => compareWith(peer))};
		},
		isReady: readiness.isReady,
	};
};
