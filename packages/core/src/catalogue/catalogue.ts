/**
 * Holds the newest configuration and the newest statement about each instance.
 *
 * Statements arrive in any order from the store and from peers. The configuration is ordered by version, an instance
 * by the revision of the store, so that nothing goes back to an older state.
 */

import {hashText} from '../random.ts';
import {lapsedHoldMs, removedRetentionMs} from './constants.ts';
import type {
	FleetConfig, InstanceEntry, InstanceRecord, LiveInstance,
} from './types.ts';

/** Summary of a catalogue; two that agree hold the same. */
export type CatalogueDigest = {
	/** 0 before any configuration. */
	readonly configVersion: number;
	/** Sum over the known statements. */
	readonly instances: number;
	/** Revision of the store up to which the instances are known; -1 before they were read. */
	readonly instancesAsOf: number;
};

/** The catalogue of one process. */
export type Catalogue = {
	/** Takes a configuration; false when it is not newer than the one in force. */
	readonly mergeConfig: (config: FleetConfig) => boolean;
	/** Takes statements and returns those that were news. */
	readonly mergeInstances: (entries: readonly InstanceEntry[], asOf: number, nowMs: number) => readonly InstanceEntry[];
	readonly config: () => FleetConfig | undefined;
	/** Instances of a service that take new requests. */
	readonly ready: (service: string) => readonly LiveInstance[];
	readonly entries: () => readonly InstanceEntry[];
	readonly digest: () => CatalogueDigest;
	/** True once both the configuration and the instances are known. */
	readonly isComplete: () => boolean;
	/** Rises whenever `ready` may have changed. */
	readonly version: () => number;
	/** Lets lapsed instances go whose time has passed, and forgets old removals. */
	readonly tick: (nowMs: number) => void;
};

type Known = {
	readonly entry: InstanceEntry;
	readonly heardAtMs: number;
	readonly live?: LiveInstance;
	/** Set while an instance is kept although its registration ran out. */
	readonly heldUntilMs?: number;
};

/** Tells the lives of one id apart. */
const lifeOf = ({bornAtMs, address, port}: InstanceRecord): string => `${bornAtMs} ${address}:${port}`;

const digestOf = ({instanceId, revision}: InstanceEntry): number => hashText(`${instanceId}\n${revision}`);

/** Creates an empty catalogue. */
export const createCatalogue = (): Catalogue => {
	const known = new Map<string, Known>();
	const readyByService = new Map<string, readonly LiveInstance[]>();
	let config: FleetConfig | undefined;
	let digestSum = 0;
	let asOfRevision = -1;
	let version = 0;

	const touch = (): void => {
		version++;
		readyByService.clear();
	};

	const toKnown = (entry: InstanceEntry, before: Known | undefined, nowMs: number): Known => {
		const {record} = entry;
		const live = before?.live;
		if (record === null) {
			return entry.isLapsed === true && live !== undefined
				? {
					entry, heardAtMs: nowMs, live, heldUntilMs: nowMs + lapsedHoldMs,
				}
				: {entry, heardAtMs: nowMs};
		}

		if (record.bornAtMs < (live?.bornAtMs ?? 0)) {
			// A late write of an earlier life says nothing about the life that follows it.
			return {...before, entry, heardAtMs: nowMs};
		}

		const knownSinceMs = live !== undefined && lifeOf(live) === lifeOf(record) ? live.knownSinceMs : nowMs;
		return {entry, heardAtMs: nowMs, live: {...record, instanceId: entry.instanceId, knownSinceMs}};
	};

	const merge = (entry: InstanceEntry, nowMs: number): boolean => {
		const before = known.get(entry.instanceId);
		const knownRevision = before?.entry.revision ?? -1;
		// A reader that had no outage knows that the registration did not lapse.
		const isFirmer = knownRevision === entry.revision && before?.entry.isLapsed === true && entry.isLapsed !== true;
		if (knownRevision >= entry.revision && !isFirmer) {
			return false;
		}

		digestSum += digestOf(entry) - (before === undefined ? 0 : digestOf(before.entry));
		known.set(entry.instanceId, toKnown(entry, before, nowMs));
		return true;
	};

	const computeReady = (service: string): readonly LiveInstance[] => [...known.values()]
		.flatMap(({live}) => live ?? [])
		.filter(live => live.service === service && live.state === 'ready')
		.toSorted((left, right) => left.instanceId < right.instanceId ? -1 : 1);

	const release = (id: string, {entry, heardAtMs, live, heldUntilMs}: Known, nowMs: number): void => {
		if (live !== undefined && heldUntilMs !== undefined && nowMs >= heldUntilMs) {
			known.set(id, {entry, heardAtMs});
			touch();
			return;
		}

		if (entry.record === null && nowMs - heardAtMs >= removedRetentionMs) {
			digestSum -= digestOf(entry);
			known.delete(id);
		}
	};

	return {
		mergeConfig(next) {
			if (config !== undefined && next.version <= config.version) {
				return false;
			}

			config = next;
			return true;
		},
		mergeInstances(entries, asOf, nowMs) {
			const news = entries.filter(entry => merge(entry, nowMs));
			if (news.length > 0) {
				touch();
			}

			asOfRevision = Math.max(asOfRevision, asOf);
			return news;
		},
		config: () => config,
		ready(service) {
			const instances = readyByService.get(service) ?? computeReady(service);
			readyByService.set(service, instances);
			return instances;
		},
		entries: () => Array.from(known.values(), ({entry}) => entry),
		digest: () => ({configVersion: config?.version ?? 0, instances: digestSum, instancesAsOf: asOfRevision}),
		isComplete: () => config !== undefined && asOfRevision >= 0,
		version: () => version,
		tick(nowMs) {
			for (const [id, value] of known) {
				release(id, value, nowMs);
			}
		},
	};
};

/**
 * The statements that follow from a full read: those that were read, and a removal for each known id that was not.
 *
 * Pages are no snapshot. An id that is missing is gone as of the first page; what is known at a later revision stays.
 */
export const reconcileFullRead = (
	read: readonly InstanceEntry[],
	firstPageAsOf: number,
	known: readonly InstanceEntry[],
	isLapsed: boolean,
): readonly InstanceEntry[] => {
	const readIds = new Set(read.map(({instanceId}) => instanceId));
	const missing = known.filter(({instanceId, record, revision}) => record !== null && !readIds.has(instanceId) && revision <= firstPageAsOf);
	return [
		...read,
		...missing.map(({instanceId}): InstanceEntry => ({
			instanceId, revision: firstPageAsOf, record: null, ...(isLapsed && {isLapsed}),
		})),
	];
};
