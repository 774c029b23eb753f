/**
 * Distributes the catalogue from the readers of the store to all gateways.
 *
 * Gossip: a reader sends an update to a few random peers of each data centre, and each gateway forwards one that is new to
 * it at once to a few random peers of its own. Comparisons with a random peer (anti-entropy), more of them after an urgent
 * change, repair losses. The work of one gateway does not grow with the number of gateways, and complete catalogues are
 * sent only to gateways that start, or whose state is not a recent one. Large objects, a configuration or all instances,
 * are announced and sent on request; a gateway pulls them from one peer at a time.
 *
 * When the store has come back from an older copy, in a later era, all instances are announced and pulled as at a start.
 */

import {reconcileFullRead, type Catalogue} from '../catalogue/catalogue.ts';
import type {Coverage} from '../catalogue/completeness.ts';
import {isNewerEntry} from '../catalogue/delayed-write.ts';
import {eraOf} from '../catalogue/store-order.ts';
import type {FleetConfig, InstanceEntry} from '../catalogue/types.ts';
import {sampleItems, type Random} from '../random.ts';
import {
	catchUpDelayMs, catchUpMs, catchUpPeers, compareIntervalMs, unknownStateDelayMs, initialCompareIntervalMs, updateFanout, updateDelayMs, readerFanout,
} from './constants.ts';
import {
	completenessInState, coverageOfState, sinceLastChange, toUpdate, type PeerState, type Update,
} from './coverage.ts';
import {createInstanceHistory} from './history.ts';
import {createSinglePull, type SinglePull} from './single-pull.ts';
import type {CatalogueMessage, CatalogueSend} from './types.ts';

/** Dependencies of the catalogue synchronisation. */
export type CatalogueSyncOptions = {
	readonly selfId: string;
	readonly catalogue: Catalogue;
	readonly random: Random;
	/** Ids of the other gateways that are believed to be up. */
	readonly peerIds: () => readonly string[];
	/** Those of `peerIds` in the own data centre. */
	readonly localPeerIds: () => readonly string[];
	readonly dataCentreOf: (peerId: string) => string;
	/** True while a message of this peer is partly received and the rest is arriving. */
	readonly isReceivingFrom: (peerId: string) => boolean;
	/** Called when a configuration or instances came into force. */
	readonly onChange: (change: CatalogueChange) => void;
};

/** A change of the catalogue. */
export type CatalogueChange = {
	/** Id of the peer that sent the change, or `store`. */
	readonly source: string;
	/** Type of the peer's message. */
	readonly messageType?: 'news' | 'state';
	/** Order in the store up to which this gateway knew the instances before; -1 for none. */
	readonly knownAsOf: number;
	/** Order up to which this gateway knew all instances without a gap before; -1 for none. */
	readonly completeAsOf: number;
	readonly config?: FleetConfig;
	readonly entries: readonly InstanceEntry[];
};

/** Result of reading the store. */
export type StoreRead = {
	readonly config?: FleetConfig;
	readonly entries?: readonly InstanceEntry[];
	/** Order in the store up to which the instances are known; absent when they were not read. */
	readonly instancesAsOf?: number;
	/** The changes that the entries hold without a gap; absent when some may be missing. */
	readonly coverage?: Coverage;
};

/** Catalogue synchronisation of one gateway. */
export type CatalogueSync = {
	/** Merges what this gateway read from the store. */
	readonly applyStoreRead: (read: StoreRead, nowMs: number) => readonly CatalogueSend[];
	readonly receive: (from: string, message: CatalogueMessage, nowMs: number) => readonly CatalogueSend[];
	readonly tick: (nowMs: number) => readonly CatalogueSend[];
	/** Returns the peers that did not answer a pull, and clears the list. */
	readonly takeUnresponsivePeers: () => readonly string[];
};

/** Result of a merge. */
type MergedChange = CatalogueChange & {
	/** True when all instances of the store, or of its present era, became known by this merge. */
	readonly isFirstComplete: boolean;
	/** What to tell others: the changes, and where the entries have no gap all of them. */
	readonly update: Update;
};

/** A state of a peer that is not in this gateway's history. */
type UnknownState = {
	readonly sum: number;
	readonly sinceMs: number;
};

/** Returns the first of `ids` after `selfId` in sorted order, wrapping around; empty when there are no ids. */
const nextIdAfter = (selfId: string, ids: readonly string[]): readonly string[] => {
	const sorted = ids.toSorted();
	return [sorted.find(id => id > selfId) ?? sorted[0]].filter(id => id !== undefined);
};

/** Creates the catalogue synchronisation of one gateway. */
export const createCatalogueSync = ({
	selfId, catalogue, random, peerIds, localPeerIds, dataCentreOf, isReceivingFrom, onChange,
}: CatalogueSyncOptions): CatalogueSync => {
	const history = createInstanceHistory();
	const unknownStates = new Map<string, UnknownState>();
	/** True when recent changes were pulled and no peer has been in a known state since. */
	let isDifferenceUnresolved = false;
	let nextCompareMs = 0;
	/** When the last change that has to be in force in time arrived. */
	let urgentChangeAtMs = Number.NEGATIVE_INFINITY;
	let unresponsivePeers: string[] = [];
	const instancesPull = createSinglePull(isReceivingFrom);
	const configPull = createSinglePull(isReceivingFrom);
	/** Version of the configuration being pulled; 0 for none. */
	let wantedVersion = 0;
	/** Order of the store, of whose era all instances are being pulled; 0 for none. */
	let wantedAsOf = 0;

	/** Selects the next peer in the order of ids and random peers of the own data centre, filled up with others where it has too few. */
	const selectLocalPeers = (count: number, except: string): readonly string[] => {
		const localIds = localPeerIds().filter(id => id !== except);
		const missing = count - localIds.length;
		// Random peers alone leave out one gateway in e^4; each of these is reached by its predecessor in the order of ids.
		const next = nextIdAfter(selfId, localIds);
		return [
			...next,
			...sampleItems(localIds.filter(id => !next.includes(id)), count - next.length, random),
			...(missing > 0 ? sampleItems(peerIds().filter(id => id !== except && !localIds.includes(id)), missing, random) : []),
		];
	};

	/** Selects some random peers of each data centre, `readerFanout` in all or a few more. */
	const selectReaderPeers = (): readonly string[] => {
		const idsByDataCentre = new Map<string, string[]>();
		for (const id of peerIds()) {
			const ids = idsByDataCentre.get(dataCentreOf(id)) ?? [];
			ids.push(id);
			idsByDataCentre.set(dataCentreOf(id), ids);
		}

		const count = Math.ceil(readerFanout / idsByDataCentre.size);
		return [...idsByDataCentre.values()].flatMap(ids => sampleItems(ids, count, random));
	};

	/** Whether all instances are known in an era of the store that is not before the one of `asOf`. */
	const hasAllInstances = (asOf = 0): boolean => {
		const {instancesAsOf} = catalogue.digest();
		return instancesAsOf !== -1 && eraOf(instancesAsOf) >= eraOf(asOf);
	};

	const recordState = (nowMs: number): void => {
		const {instances, instancesAsOf} = catalogue.digest();
		history.recordState(instances, instancesAsOf, nowMs);
	};

	const merge = ({source, messageType}: Pick<CatalogueChange, 'source' | 'messageType'>, {
		config, entries = [], instancesAsOf = -1, coverage,
	}: StoreRead, nowMs: number): MergedChange | undefined => {
		const knownAsOf = catalogue.digest().instancesAsOf;
		const completeAsOf = catalogue.completeness().asOf;
		const hadInstances = hasAllInstances();
		const wasComplete = hasAllInstances(instancesAsOf);
		const isNewConfig = config !== undefined && catalogue.mergeConfig(config);
		const merged = catalogue.mergeInstances(entries, instancesAsOf, nowMs, coverage);
		recordState(nowMs);
		history.recordMerged(merged, nowMs);
		const isFirstComplete = !wasComplete && hasAllInstances(instancesAsOf);
		const isNewEra = isFirstComplete && hadInstances;
		if (!isNewConfig && merged.length === 0 && !isFirstComplete) {
			return undefined;
		}

		if (isNewConfig || isNewEra || merged.some(({record}) => record?.state !== 'ready')) {
			urgentChangeAtMs = nowMs;
		}

		const change: CatalogueChange = {
			source, knownAsOf, completeAsOf, entries: merged, ...(messageType !== undefined && {messageType}), ...(isNewConfig && {config}),
		};
		onChange(change);
		return {...change, isFirstComplete, update: toUpdate(merged, entries, coverage)};
	};

	const toUpdateMessage = (update: Update): CatalogueMessage => ({
		type: 'news',
		...update,
		instancesAsOf: catalogue.digest().instancesAsOf,
		configVersion: catalogue.digest().configVersion,
	});

	const certainCompleteness = (): {readonly completeAsOf?: number} => {
		const {asOf, lapsesUntilMs} = catalogue.completeness();
		return asOf === -1 || lapsesUntilMs !== undefined ? {} : {completeAsOf: asOf};
	};

	const compareTo = (to: string, isReply: boolean): CatalogueSend => ({
		to,
		message: {
			type: 'compare', digest: catalogue.digest(), ...certainCompleteness(), ...(isReply && {isReply}),
		},
		transport: 'datagram',
	});

	const compareWithRandomPeers = (count: number): readonly CatalogueSend[] => sampleItems(peerIds(), count, random).map(to => compareTo(to, false));

	const announce = (change: MergedChange | undefined, receivers: () => readonly string[]): readonly CatalogueSend[] => {
		if (change === undefined) {
			return [];
		}

		if (change.isFirstComplete) {
			return receivers().map(to => compareTo(to, false));
		}

		const message = toUpdateMessage(change.update);
		return receivers().map(to => ({to, message, transport: 'stream'}));
	};

	const sendEntries = (to: string, entries: readonly InstanceEntry[]): readonly CatalogueSend[] =>
		entries.length === 0 ? [] : [{to, message: toUpdateMessage({entries}), transport: 'stream'}];

	const forward = (change: MergedChange | undefined, from: string): readonly CatalogueSend[] => announce(change, () => selectLocalPeers(updateFanout, from));

	const createPull = (to: string, wantsConfig: boolean, wantsInstances: boolean): CatalogueSend => ({
		to,
		message: {
			type: 'pull', configVersion: wantsConfig ? catalogue.digest().configVersion : Number.MAX_SAFE_INTEGER, wantsInstances, takesPacked: true,
		},
		transport: 'datagram',
	});

	const pullInstances = (from: string, nowMs: number): readonly CatalogueSend[] => instancesPull.offer(from, nowMs) ? [createPull(from, false, true)] : [];

	/** Pulls all instances from a peer that knows them up to `asOf`, until a state arrives or they are known in that era. */
	const pullInstancesOf = (from: string, asOf: number, nowMs: number): readonly CatalogueSend[] => {
		wantedAsOf = Math.max(wantedAsOf, asOf);
		return pullInstances(from, nowMs);
	};

	const pullConfig = (from: string, version: number, nowMs: number): readonly CatalogueSend[] => {
		if (version <= catalogue.digest().configVersion) {
			return [];
		}

		if (version > wantedVersion) {
			wantedVersion = version;
			configPull.end();
		}

		return configPull.offer(from, nowMs) ? [createPull(from, true, false)] : [];
	};

	const advance = (pull: SinglePull, ask: (id: string) => CatalogueSend, nowMs: number): readonly CatalogueSend[] => {
		const step = pull.advance(nowMs);
		switch (step.type) {
			case 'wait': {
				return [];
			}

			case 'unresponsive': {
				unresponsivePeers.push(step.unresponsiveId);
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

		if (hasAllInstances(wantedAsOf)) {
			instancesPull.end();
		}

		return [...advance(configPull, id => createPull(id, true, false), nowMs), ...advance(instancesPull, id => createPull(id, false, true), nowMs)];
	};

	/** Tells a peer what came into force in place of the entries that it sent, since others may not know it: a removal, or that a write was delayed. */
	const sendReplacements = (to: string, sent: readonly InstanceEntry[], change: MergedChange | undefined): readonly CatalogueSend[] => {
		const known = new Set(sent);
		return sendEntries(to, (change?.entries ?? []).filter(entry => !known.has(entry)));
	};

	const receiveUpdate = (from: string, message: Extract<CatalogueMessage, {type: 'news'}>, nowMs: number): readonly CatalogueSend[] => {
		// Changes alone don't complete a catalogue: instances that were registered before, or are there in a later era, are pulled.
		const isIncomplete = !hasAllInstances(message.instancesAsOf);
		const asOf = isIncomplete ? -1 : message.instancesAsOf;
		const change = merge({source: from, messageType: 'news'}, {...message, instancesAsOf: asOf}, nowMs);
		return [
			...forward(change, from),
			...sendReplacements(from, message.entries, change),
			...pullConfig(from, message.configVersion, nowMs),
			...(isIncomplete && message.instancesAsOf !== -1 ? pullInstancesOf(from, message.instancesAsOf, nowMs) : []),
		];
	};

	const answerPull = (from: string, {
		configVersion, wantsInstances, afterRevision, completeAsOf, takesPacked,
	}: Extract<CatalogueMessage, {type: 'pull'}>, nowMs: number): readonly CatalogueSend[] => {
		const completeness = catalogue.completeness();
		const isChangesOnly = afterRevision !== undefined && (completeAsOf === undefined || completeAsOf >= completeness.removalsSinceAsOf);
		if (isChangesOnly) {
			return sendEntries(from, catalogue.entries().filter(({revision}) => revision > afterRevision));
		}

		const config = catalogue.config();
		const sendsInstances = wantsInstances || afterRevision !== undefined;
		const isNewer = config !== undefined && config.version > configVersion;
		const message: CatalogueMessage = {
			type: 'state',
			instancesAsOf: sendsInstances ? catalogue.digest().instancesAsOf : -1,
			...(isNewer && {config}),
			...(sendsInstances && {entries: catalogue.entries(), ...completenessInState(completeness, nowMs)}),
			...(takesPacked && {isPacked: true}),
		};
		return [{to: from, message, transport: 'stream'}];
	};

	/** Sends a peer in a recent state of this gateway what was merged since. */
	const sendMissed = (to: string, sum: number, ageMs: number): readonly CatalogueSend[] =>
		sendEntries(to, ageMs < updateDelayMs ? [] : history.mergedSince(sum));

	const replyTo = (from: string, isReply: boolean | undefined): readonly CatalogueSend[] => isReply === true ? [] : [compareTo(from, true)];

	/** Handles different states of two complete catalogues: the gateway ahead sends what the other missed. */
	const resolveDifference = (from: string, {digest, isReply}: Extract<CatalogueMessage, {type: 'compare'}>, nowMs: number): readonly CatalogueSend[] => {
		const ageMs = history.ageMs(digest.instances, nowMs);
		if (ageMs !== undefined) {
			isDifferenceUnresolved = false;
			return sendMissed(from, digest.instances, ageMs);
		}

		if (!unknownStates.has(from)) {
			unknownStates.set(from, {sum: digest.instances, sinceMs: nowMs});
		}

		return replyTo(from, isReply);
	};

	/** Equal instances are complete up to the same order. */
	const adoptCompleteness = ({digest, completeAsOf}: Extract<CatalogueMessage, {type: 'compare'}>): void => {
		if (completeAsOf !== undefined && digest.instances === catalogue.digest().instances) {
			catalogue.adoptCompleteness(completeAsOf);
		}
	};

	const compareWith = (from: string, message: Extract<CatalogueMessage, {type: 'compare'}>, nowMs: number): readonly CatalogueSend[] => {
		const {digest, isReply} = message;
		const isOwnComplete = hasAllInstances(digest.instancesAsOf);
		const isPeerComplete = digest.instancesAsOf !== -1 && eraOf(digest.instancesAsOf) >= eraOf(catalogue.digest().instancesAsOf);
		if (isPeerComplete && isOwnComplete) {
			adoptCompleteness(message);
		}

		const isPeerBehind = (isOwnComplete && !isPeerComplete) || catalogue.digest().configVersion > digest.configVersion;
		return [
			...(isPeerComplete && !isOwnComplete ? pullInstancesOf(from, digest.instancesAsOf, nowMs) : []),
			...(isPeerComplete && isOwnComplete ? resolveDifference(from, message, nowMs) : []),
			...pullConfig(from, digest.configVersion, nowMs),
			...(isPeerBehind ? replyTo(from, isReply) : []),
		];
	};

	/** A gateway that missed one change and got the next is in a state of its own: pulls recent changes first, then all instances. */
	const pullRecentOrAll = (id: string, nowMs: number): readonly CatalogueSend[] => {
		if (isDifferenceUnresolved) {
			return pullInstances(id, nowMs);
		}

		isDifferenceUnresolved = true;
		const {asOf} = catalogue.completeness();
		const message: CatalogueMessage = {
			type: 'pull',
			configVersion: Number.MAX_SAFE_INTEGER,
			wantsInstances: false,
			afterRevision: history.oldestAsOf(),
			...(asOf !== -1 && {completeAsOf: asOf, takesPacked: true}),
		};
		return [{to: id, message, transport: 'datagram'}];
	};

	/** Pulls from a peer whose state has stayed unknown. */
	const resolveUnknownStates = (nowMs: number): readonly CatalogueSend[] => {
		for (const [id, {sum, sinceMs}] of unknownStates) {
			if (nowMs - sinceMs < unknownStateDelayMs) {
				continue;
			}

			unknownStates.delete(id);
			if (history.ageMs(sum, nowMs) === undefined) {
				// The answer resolves the other unknown states as well, or comparisons find them again.
				unknownStates.clear();
				return pullRecentOrAll(id, nowMs);
			}
		}

		return [];
	};

	/** Sends a peer that sent its complete state the entries in which it is behind. */
	const sendNewer = (to: string, {entries, instancesAsOf}: PeerState): readonly CatalogueSend[] => {
		if (entries === undefined || instancesAsOf === -1) {
			return [];
		}

		const sent = new Map(entries.map(entry => [entry.instanceId, entry]));
		return sendEntries(to, catalogue.entries().filter(entry => {
			const other = sent.get(entry.instanceId);
			return other === undefined || isNewerEntry(entry, other);
		}));
	};

	/**
	 * Entries of a peer's state, and removals of those that it lacks: in a later era of the store they may register again; otherwise they
	 * are gone where the peer knows all instances up to a later order than this gateway.
	 */
	const entriesOfState = ({entries, instancesAsOf, completeAsOf = -1, lapsesForMs}: PeerState): readonly InstanceEntry[] | undefined => {
		if (entries === undefined || instancesAsOf === -1) {
			return entries;
		}

		if (hasAllInstances() && !hasAllInstances(instancesAsOf)) {
			return reconcileFullRead(entries, instancesAsOf, catalogue.entries(), {});
		}

		return completeAsOf > catalogue.completeness().asOf
			? reconcileFullRead(entries, completeAsOf, catalogue.entries(), lapsesForMs === undefined ? false : {usableForMs: lapsesForMs})
			: entries;
	};

	const receiveState = (from: string, message: PeerState, nowMs: number): readonly CatalogueSend[] => {
		// An incomplete or outdated state is an answer as well; comparisons find peers that have more.
		if (message.entries !== undefined) {
			instancesPull.end();
			wantedAsOf = 0;
		}

		if (message.config !== undefined) {
			configPull.end();
			wantedVersion = 0;
		}

		const entries = entriesOfState(message);
		const coverage = coverageOfState(message, nowMs);
		const change = merge({source: from, messageType: 'state'}, {
			instancesAsOf: message.instancesAsOf,
			...(message.config !== undefined && {config: message.config}),
			...(entries !== undefined && {entries}),
			...(coverage !== undefined && {coverage}),
		}, nowMs);
		return [...forward(change, from), ...sendNewer(from, message)];
	};

	return {
		applyStoreRead(read, nowMs) {
			const coverage = read.coverage && sinceLastChange(read.coverage, catalogue.completeness());
			return announce(merge({source: 'store'}, {...read, ...(coverage !== undefined && {coverage})}, nowMs), selectReaderPeers);
		},
		receive(from, message, nowMs) {
			switch (message.type) {
				case 'news': {
					return receiveUpdate(from, message, nowMs);
				}

				case 'compare': {
					return compareWith(from, message, nowMs);
				}

				case 'pull': {
					return answerPull(from, message, nowMs);
				}

				case 'state': {
					return receiveState(from, message, nowMs);
				}
			}
		},
		tick(nowMs) {
			recordState(nowMs);
			const sends = [...advancePulls(nowMs), ...resolveUnknownStates(nowMs)];
			const sinceUrgentMs = nowMs - urgentChangeAtMs;
			if (sinceUrgentMs >= catchUpDelayMs && sinceUrgentMs < catchUpDelayMs + catchUpMs) {
				return [...sends, ...compareWithRandomPeers(catchUpPeers)];
			}

			if (nowMs < nextCompareMs) {
				return sends;
			}

			nextCompareMs = nowMs + ((catalogue.isComplete() ? compareIntervalMs : initialCompareIntervalMs) * (0.75 + (0.5 * random.next())));
			return [...sends, ...compareWithRandomPeers(1)];
		},
		takeUnresponsivePeers() {
			const peers = unresponsivePeers;
			unresponsivePeers = [];
			return peers;
		},
	};
};
