/**
 * Spreads the catalogue from the readers of the store to all gateways.
 *
 * News is passed on at once to a few random peers of the own data centre by each gateway that did not know it (an
 * epidemic); regular comparisons with a random peer mend what was lost. The work of one gateway does not grow with their
 * number, and whole catalogues are sent only to gateways that start, or whose state is not a recent one. What is large, a
 * configuration or all instances, is announced, and sent only to who asks for it; who lacks it asks one peer at a time.
 */

import type {Catalogue} from '../catalogue/catalogue.ts';
import type {FleetConfig, InstanceEntry} from '../catalogue/types.ts';
import {sampleItems, type Random} from '../random.ts';
import {
	compareIntervalMs, doubtMs, firstCompareIntervalMs, newsFanout, newsGraceMs, readerFanout,
} from './constants.ts';
import {createInstanceHistory} from './history.ts';
import {createSinglePull, type SinglePull} from './single-pull.ts';
import type {CatalogueMessage, CatalogueSend} from './types.ts';

/** What the spread needs. */
export type CatalogueSyncOptions = {
	readonly selfId: string;
	readonly catalogue: Catalogue;
	readonly random: Random;
	/** Ids of the other gateways that are believed to be up. */
	readonly peerIds: () => readonly string[];
	/** Those of them in the own data centre. */
	readonly localPeerIds: () => readonly string[];
	/** Whether a part of a message of this peer is there, and the rest on its way. */
	readonly isReceivingFrom: (peerId: string) => boolean;
	/** Called when a configuration or instances came into force, with where they came from. */
	readonly onChange: (change: CatalogueChange) => void;
};

/** What changed, and who said so. */
export type CatalogueChange = {
	readonly source: string;
	readonly config?: FleetConfig;
	readonly entries: readonly InstanceEntry[];
};

/** What a gateway read from the store. */
export type StoreNews = {
	readonly config?: FleetConfig;
	readonly entries?: readonly InstanceEntry[];
	/** Revision up to which the instances are known now; absent when they were not read. */
	readonly instancesAsOf?: number;
};

/** The spread at one gateway. */
export type CatalogueSync = {
	/** Takes what this gateway read from the store itself. */
	readonly applyStoreRead: (read: StoreNews, nowMs: number) => readonly CatalogueSend[];
	readonly receive: (from: string, message: CatalogueMessage, nowMs: number) => readonly CatalogueSend[];
	readonly tick: (nowMs: number) => readonly CatalogueSend[];
	/** Peers that did not answer when they were asked for what they have; cleared by the call. */
	readonly takeUnresponsivePeers: () => readonly string[];
};

/** What a merge changed. */
type Merged = CatalogueChange & {
	/** True when all instances are known from now on. */
	readonly isFirstWhole: boolean;
};

/** A state of a peer that this gateway has not been in. */
type Doubt = {
	readonly sum: number;
	readonly sinceMs: number;
};

/** The first of `ids` after `selfId`, or the first of all; none of none. */
const nextInOrder = (selfId: string, ids: readonly string[]): readonly string[] => {
	const sorted = ids.toSorted();
	return [sorted.find(id => id > selfId) ?? sorted[0]].filter(id => id !== undefined);
};

/** Creates the spread of one gateway. */
export const createCatalogueSync = ({
	selfId, catalogue, random, peerIds, localPeerIds: nearPeerIds, isReceivingFrom: isArriving, onChange,
}: CatalogueSyncOptions): CatalogueSync => {
	const history = createInstanceHistory();
	const doubts = new Map<string, Doubt>();
	/** True when recent changes were asked for and no peer has agreed since. */
	let isStillApart = false;
	let nextCompareMs = 0;
	let silentPeers: string[] = [];
	const instancesPull = createSinglePull(isArriving);
	const configPull = createSinglePull(isArriving);
	/** The configuration that is asked for; 0 for none. */
	let wantedVersion = 0;

	/** The next in the order of ids and random peers of the own data centre; others make up the number where it has too few. */
	const pickNear = (count: number, except: string): readonly string[] => {
		const near = nearPeerIds().filter(id => id !== except);
		const missing = count - near.length;
		// Random ones alone leave out one in e^4: the order reaches these by way of the one before them.
		const next = nextInOrder(selfId, near);
		return [
			...next,
			...sampleItems(near.filter(id => !next.includes(id)), count - next.length, random),
			...(missing > 0 ? sampleItems(peerIds().filter(id => id !== except && !near.includes(id)), missing, random) : []),
		];
	};

	const isEveryInstanceKnown = (): boolean => catalogue.digest().instancesAsOf !== -1;

	const noteState = (nowMs: number): void => {
		const {instances, instancesAsOf} = catalogue.digest();
		history.note(instances, instancesAsOf, nowMs);
	};

	const merge = (source: string, {config, entries = [], instancesAsOf = -1}: StoreNews, nowMs: number): Merged | undefined => {
		const wasWhole = isEveryInstanceKnown();
		const isNewConfig = config !== undefined && catalogue.mergeConfig(config);
		const news = catalogue.mergeInstances(entries, instancesAsOf, nowMs);
		noteState(nowMs);
		history.noteMerged(news, nowMs);
		const isFirstWhole = !wasWhole && isEveryInstanceKnown();
		if (!isNewConfig && news.length === 0 && !isFirstWhole) {
			return undefined;
		}

		const change: CatalogueChange = {source, entries: news, ...(isNewConfig && {config})};
		onChange(change);
		return {...change, isFirstWhole};
	};

	const toNews = (entries: readonly InstanceEntry[]): CatalogueMessage => ({
		type: 'news',
		entries,
		instancesAsOf: catalogue.digest().instancesAsOf,
		configVersion: catalogue.digest().configVersion,
	});

	const compareTo = (to: string, isReply: boolean): CatalogueSend => ({
		to, message: {type: 'compare', digest: catalogue.digest(), ...(isReply && {isReply})}, transport: 'datagram',
	});

	const tell = (change: Merged | undefined, receivers: () => readonly string[]): readonly CatalogueSend[] => {
		if (change === undefined) {
			return [];
		}

		if (change.isFirstWhole) {
			return receivers().map(to => compareTo(to, false));
		}

		const message = toNews(change.entries);
		return receivers().map(to => ({to, message, transport: 'stream'}));
	};

	const sendNews = (to: string, entries: readonly InstanceEntry[]): readonly CatalogueSend[] =>
		entries.length === 0 ? [] : [{to, message: toNews(entries), transport: 'stream'}];

	const passOn = (change: Merged | undefined, from: string): readonly CatalogueSend[] => tell(change, () => pickNear(newsFanout, from));

	const askFor = (to: string, wantsConfig: boolean, wantsInstances: boolean): CatalogueSend => ({
		to,
		message: {
			type: 'pull', configVersion: wantsConfig ? catalogue.digest().configVersion : Number.MAX_SAFE_INTEGER, wantsInstances, takesPacked: true,
		},
		transport: 'datagram',
	});

	const pullInstances = (from: string, nowMs: number): readonly CatalogueSend[] => instancesPull.offer(from, nowMs) ? [askFor(from, false, true)] : [];

	const pullConfig = (from: string, version: number, nowMs: number): readonly CatalogueSend[] => {
		if (version <= catalogue.digest().configVersion) {
			return [];
		}

		if (version > wantedVersion) {
			wantedVersion = version;
			configPull.end();
		}

		return configPull.offer(from, nowMs) ? [askFor(from, true, false)] : [];
	};

	const advance = (pull: SinglePull, ask: (id: string) => CatalogueSend, nowMs: number): readonly CatalogueSend[] => {
		const step = pull.advance(nowMs);
		switch (step.type) {
			case 'waits': {
				return [];
			}

			case 'silent': {
				silentPeers.push(step.silentId);
				return step.nextId === undefined ? [] : [ask(step.nextId)];
			}

			case 'slow': {
				return [ask(step.nextId)];
			}
		}
	};

	const advancePulls = (nowMs: number): readonly CatalogueSend[] => {
		if (catalogue.digest().configVersion >= wantedVersion) {
			configPull.end();
		}

		if (isEveryInstanceKnown()) {
			instancesPull.end();
		}

		return [...advance(configPull, id => askFor(id, true, false), nowMs), ...advance(instancesPull, id => askFor(id, false, true), nowMs)];
	};

	const takeNews = (from: string, message: Extract<CatalogueMessage, {type: 'news'}>, nowMs: number): readonly CatalogueSend[] => {
		// Changes alone don't make a catalogue whole: what was registered before is asked for.
		const isLacking = !isEveryInstanceKnown();
		const asOf = isLacking ? -1 : message.instancesAsOf;
		const change = merge(from, {...message, instancesAsOf: asOf}, nowMs);
		return [
			...passOn(change, from),
			...pullConfig(from, message.configVersion, nowMs),
			...(isLacking && message.instancesAsOf !== -1 ? pullInstances(from, nowMs) : []),
		];
	};

	const answerPull = (from: string, {
		configVersion, wantsInstances, afterRevision, takesPacked,
	}: Extract<CatalogueMessage, {type: 'pull'}>): readonly CatalogueSend[] => {
		if (afterRevision !== undefined) {
			return sendNews(from, catalogue.entries().filter(({revision}) => revision > afterRevision));
		}

		const config = catalogue.config();
		const isNewer = config !== undefined && config.version > configVersion;
		const message: CatalogueMessage = {
			type: 'state',
			instancesAsOf: wantsInstances ? catalogue.digest().instancesAsOf : -1,
			...(isNewer && {config}),
			...(wantsInstances && {entries: catalogue.entries()}),
			...(takesPacked && {isPacked: true}),
		};
		return [{to: from, message, transport: 'stream'}];
	};

	/** A peer whose state is a recent one of this gateway lacks what was merged since. */
	const sendMissed = (to: string, sum: number, ageMs: number): readonly CatalogueSend[] =>
		sendNews(to, ageMs < newsGraceMs ? [] : history.mergedSince(sum));

	const replyTo = (from: string, isReply: boolean | undefined): readonly CatalogueSend[] => isReply === true ? [] : [compareTo(from, true)];

	/** Both know all instances, in different states: the one ahead sends what the other missed. */
	const settleDifference = (from: string, {digest, isReply}: Extract<CatalogueMessage, {type: 'compare'}>, nowMs: number): readonly CatalogueSend[] => {
		const ageMs = history.ageMs(digest.instances, nowMs);
		if (ageMs !== undefined) {
			isStillApart = false;
			return sendMissed(from, digest.instances, ageMs);
		}

		if (!doubts.has(from)) {
			doubts.set(from, {sum: digest.instances, sinceMs: nowMs});
		}

		return replyTo(from, isReply);
	};

	const compareWith = (from: string, message: Extract<CatalogueMessage, {type: 'compare'}>, nowMs: number): readonly CatalogueSend[] => {
		const {digest, isReply} = message;
		const isOwnWhole = isEveryInstanceKnown();
		const isPeerWhole = digest.instancesAsOf !== -1;
		const isPeerLacking = (isOwnWhole && !isPeerWhole) || catalogue.digest().configVersion > digest.configVersion;
		return [
			...(isPeerWhole && !isOwnWhole ? pullInstances(from, nowMs) : []),
			...(isPeerWhole && isOwnWhole ? settleDifference(from, message, nowMs) : []),
			...pullConfig(from, digest.configVersion, nowMs),
			...(isPeerLacking ? replyTo(from, isReply) : []),
		];
	};

	/** A gateway that missed one change and heard the next is in a state of its own: recent changes mend it, else all is asked for. */
	const askAfterDoubt = (id: string, nowMs: number): readonly CatalogueSend[] => {
		if (isStillApart) {
			return pullInstances(id, nowMs);
		}

		isStillApart = true;
		const message: CatalogueMessage = {
			type: 'pull', configVersion: Number.MAX_SAFE_INTEGER, wantsInstances: false, afterRevision: history.oldestAsOf(),
		};
		return [{to: id, message, transport: 'datagram'}];
	};

	/** Asks peers whose state stayed unknown for what they know. */
	const settleDoubts = (nowMs: number): readonly CatalogueSend[] => {
		for (const [id, {sum, sinceMs}] of doubts) {
			if (nowMs - sinceMs < doubtMs) {
				continue;
			}

			doubts.delete(id);
			if (history.ageMs(sum, nowMs) === undefined) {
				// The answer settles the other doubts as well, or they arise again.
				doubts.clear();
				return askAfterDoubt(id, nowMs);
			}
		}

		return [];
	};

	/** What a peer that sent its whole state lacks. */
	const sendNewer = (to: string, {entries, instancesAsOf}: Extract<CatalogueMessage, {type: 'state'}>): readonly CatalogueSend[] => {
		if (entries === undefined || instancesAsOf === -1) {
			return [];
		}

		const revisions = new Map(entries.map(({instanceId, revision}) => [instanceId, revision]));
		return sendNews(to, catalogue.entries().filter(({instanceId, revision}) => revision > (revisions.get(instanceId) ?? -1)));
	};

	return {
		applyStoreRead: (read, nowMs) => tell(merge('store', read, nowMs), () => sampleItems(peerIds(), readerFanout, random)),
		receive(from, message, nowMs) {
			switch (message.type) {
				case 'news': {
					return takeNews(from, message, nowMs);
				}

				case 'compare': {
					return compareWith(from, message, nowMs);
				}

				case 'pull': {
					return answerPull(from, message);
				}

				case 'state': {
					// Also what is not whole, or not the newest, is an answer; comparisons tell who has more.
					if (message.entries !== undefined) {
						instancesPull.end();
					}

					if (message.config !== undefined) {
						configPull.end();
						wantedVersion = 0;
					}

					const change = merge(from, message, nowMs);
					return [...passOn(change, from), ...sendNewer(from, message)];
				}
			}
		},
		tick(nowMs) {
			noteState(nowMs);
			const sends = [...advancePulls(nowMs), ...settleDoubts(nowMs)];
			if (nowMs < nextCompareMs) {
				return sends;
			}

			nextCompareMs = nowMs + ((catalogue.isComplete() ? compareIntervalMs : firstCompareIntervalMs) * (0.75 + (0.5 * random.next())));
			return [...sends, ...sampleItems(peerIds(), 1, random).map(to => compareTo(to, false))];
		},
		takeUnresponsivePeers() {
			const peers = silentPeers;
			silentPeers = [];
			return peers;
		},
	};
};
