/**
 * Spreads the catalogue from the readers of the store to all gateways.
 *
 * News is passed on at once to a few random peers by each gateway that did not know it (an epidemic); regular
 * comparisons with a random peer mend what was lost. The work of one gateway does not grow with their number.
 */

import type {Catalogue} from '../catalogue/catalogue.ts';
import type {FleetConfig, InstanceEntry} from '../catalogue/types.ts';
import type {Random} from '../random.ts';
import {
	compareIntervalMs, firstCompareIntervalMs, newsFanout, pullTimeoutMs, readerFanout,
} from './constants.ts';
import type {SpreadMessage, SpreadSend} from './types.ts';

/** What the spread needs. */
export type SpreadOptions = {
	readonly catalogue: Catalogue;
	readonly random: Random;
	/** Ids of the other gateways that are believed to be up. */
	readonly peerIds: () => readonly string[];
	/** Called when a configuration or instances came into force, with where they came from. */
	readonly onChange: (change: SpreadChange) => void;
};

/** What changed, and who said so. */
export type SpreadChange = {
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
export type Spread = {
	/** Takes what this gateway read from the store itself. */
	readonly takeRead: (read: StoreNews, nowMs: number) => readonly SpreadSend[];
	readonly receive: (from: string, message: SpreadMessage, nowMs: number) => readonly SpreadSend[];
	readonly tick: (nowMs: number) => readonly SpreadSend[];
	/** Peers that did not answer when they were asked for what they have; cleared by the call. */
	readonly takeSilentPeers: () => readonly string[];
};

type WantedConfig = {
	readonly version: number;
	/** Others that announced it, to be asked when the first does not answer. */
	readonly sources: string[];
	readonly askedId: string;
	readonly askedAtMs: number;
};

/** Creates the spread of one gateway. */
export const createSpread = ({catalogue, random, peerIds, onChange}: SpreadOptions): Spread => {
	let nextCompareMs = 0;
	let silentPeers: string[] = [];
	/** Peers that were asked for instances, and when. */
	const pulls = new Map<string, number>();
	/** The newer configuration that a peer was asked for, and who else has it. */
	let wanted: WantedConfig | undefined;

	const pickPeers = (count: number, except: string): readonly string[] => {
		const candidates = peerIds().filter(id => id !== except);
		const picked: string[] = [];
		while (picked.length < count && candidates.length > 0) {
			picked.push(...candidates.splice(Math.floor(random.next() * candidates.length), 1));
		}

		return picked;
	};

	const merge = (source: string, {config, entries = [], instancesAsOf = -1}: StoreNews, nowMs: number): SpreadChange | undefined => {
		const isNewConfig = config !== undefined && catalogue.mergeConfig(config);
		const news = catalogue.mergeInstances(entries, instancesAsOf, nowMs);
		if (!isNewConfig && news.length === 0) {
			return undefined;
		}

		const change: SpreadChange = {source, entries: news, ...(isNewConfig && {config})};
		onChange(change);
		return change;
	};

	const toNews = ({entries}: SpreadChange): SpreadMessage => ({
		type: 'news',
		entries,
		instancesAsOf: catalogue.digest().instancesAsOf,
		configVersion: catalogue.digest().configVersion,
	});

	const tell = (change: SpreadChange | undefined, count: number, except: string): readonly SpreadSend[] => {
		if (change === undefined) {
			return [];
		}

		const message = toNews(change);
		return pickPeers(count, except).map(to => ({to, message, transport: 'stream'}));
	};

	const askFor = (to: string, wantsConfig: boolean, wantsInstances: boolean): SpreadSend => ({
		to, message: {type: 'pull', configVersion: wantsConfig ? catalogue.digest().configVersion : Number.MAX_SAFE_INTEGER, wantsInstances}, transport: 'datagram',
	});

	const pullInstances = (from: string, nowMs: number): readonly SpreadSend[] => {
		if (pulls.has(from)) {
			return [];
		}

		pulls.set(from, nowMs);
		return [askFor(from, false, true)];
	};

	/** A configuration may be long: it is asked for once, and from the next source only when the first is silent. */
	const pullConfig = (from: string, version: number, nowMs: number): readonly SpreadSend[] => {
		if (version <= catalogue.digest().configVersion) {
			return [];
		}

		if (wanted !== undefined && wanted.version >= version) {
			wanted.sources.push(from);
			return [];
		}

		wanted = {
			version, sources: [], askedId: from, askedAtMs: nowMs,
		};
		return [askFor(from, true, false)];
	};

	const advanceWanted = (nowMs: number): readonly SpreadSend[] => {
		if (wanted === undefined || catalogue.digest().configVersion >= wanted.version) {
			wanted = undefined;
			return [];
		}

		if (nowMs - wanted.askedAtMs < pullTimeoutMs) {
			return [];
		}

		silentPeers.push(wanted.askedId);
		const next = wanted.sources.shift();
		if (next === undefined) {
			wanted = undefined;
			return [];
		}

		wanted = {...wanted, askedId: next, askedAtMs: nowMs};
		return [askFor(next, true, false)];
	};

	const takeNews = (from: string, message: Extract<SpreadMessage, {type: 'news'}>, nowMs: number): readonly SpreadSend[] => {
		// Changes alone don't make a catalogue whole: what was registered before is asked for.
		const asOf = catalogue.digest().instancesAsOf === -1 ? -1 : message.instancesAsOf;
		const change = merge(from, {...message, instancesAsOf: asOf}, nowMs);
		return [
			...tell(change, newsFanout, from),
			...pullConfig(from, message.configVersion, nowMs),
			...(asOf === -1 ? pullInstances(from, nowMs) : []),
		];
	};

	const answerPull = (from: string, {configVersion, wantsInstances}: Extract<SpreadMessage, {type: 'pull'}>): readonly SpreadSend[] => {
		const config = catalogue.config();
		const isNewer = config !== undefined && config.version > configVersion;
		const message: SpreadMessage = {
			type: 'state',
			instancesAsOf: wantsInstances ? catalogue.digest().instancesAsOf : -1,
			...(isNewer && {config}),
			...(wantsInstances && {entries: catalogue.entries()}),
		};
		return [{to: from, message, transport: 'stream'}];
	};

	/** Both sides of a difference ask for what the other has, since a sum does not say who is ahead. */
	const compareWith = (from: string, {digest}: Extract<SpreadMessage, {type: 'compare'}>, nowMs: number): readonly SpreadSend[] => {
		const own = catalogue.digest();
		const isSame = own.instances === digest.instances;
		// A gateway that heard of all changes, but of no full read, does not know yet that nothing is missing.
		const needsInstances = digest.instancesAsOf !== -1 && (!isSame || own.instancesAsOf === -1);
		const offersInstances = own.instancesAsOf !== -1 && (!isSame || digest.instancesAsOf === -1);
		const offersConfig = own.configVersion > digest.configVersion;
		return [
			...(needsInstances ? pullInstances(from, nowMs) : []),
			...pullConfig(from, digest.configVersion, nowMs),
			...(offersInstances || offersConfig ? answerPull(from, {type: 'pull', configVersion: digest.configVersion, wantsInstances: offersInstances}) : []),
		];
	};

	return {
		takeRead: (read, nowMs) => tell(merge('store', read, nowMs), readerFanout, ''),
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
					if (message.entries !== undefined) {
						pulls.delete(from);
					}

					return tell(merge(from, message, nowMs), newsFanout, from);
				}
			}
		},
		tick(nowMs) {
			for (const [id, askedAtMs] of pulls) {
				if (nowMs - askedAtMs >= pullTimeoutMs) {
					pulls.delete(id);
					silentPeers.push(id);
				}
			}

			const sends = advanceWanted(nowMs);
			if (nowMs < nextCompareMs) {
				return sends;
			}

			nextCompareMs = nowMs + ((catalogue.isWhole() ? compareIntervalMs : firstCompareIntervalMs) * (0.75 + (0.5 * random.next())));
			const digest = catalogue.digest();
			return [...sends, ...pickPeers(1, '').map((to): SpreadSend => ({to, message: {type: 'compare', digest}, transport: 'datagram'}))];
		},
		takeSilentPeers() {
			const peers = silentPeers;
			silentPeers = [];
			return peers;
		},
	};
};
