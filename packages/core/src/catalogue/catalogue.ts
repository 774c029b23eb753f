/**
 * Holds the newest configuration and the newest entry of each instance.
 *
 * Entries arrive in any order from the store and from peers. Configurations are ordered by version and instance
 * entries by the revision of the store, so that nothing reverts to an older state.
 */

import {hashText} from '../random.ts';
import {lapsedRetentionMs, removedRetentionMs} from './constants.ts';
import {createLeavingRuns, toRunKey} from './leaving-runs.ts';
import type {
	FleetConfig, InstanceEntry, InstanceRun, LiveInstance,
} from './types.ts';

/** Summary of a catalogue. Catalogues with equal digests hold the same content. */
export type CatalogueDigest = {
	/** 0 while no configuration is known. */
	readonly configVersion: number;
	/** Sum of the hashes of the known instance entries. */
	readonly instances: number;
	/** Revision of the store up to which the instances are known; -1 before they were read. */
	readonly instancesAsOf: number;
};

/** The catalogue of one process. */
export type Catalogue = {
	/** Replaces the configuration; returns false when the given one is not newer. */
	readonly mergeConfig: (config: FleetConfig) => boolean;
	/** Merges instance entries, read at the store revision `asOf`, and returns those that changed the catalogue. */
	readonly mergeInstances: (entries: readonly InstanceEntry[], asOf: number, nowMs: number) => readonly InstanceEntry[];
	/** Records that a run of an instance has announced that it leaves; returns false when that is known. Only the registration of another run ends it. */
	readonly markLeaving: (run: InstanceRun, nowMs: number) => boolean;
	readonly config: () => FleetConfig | undefined;
	/** Instances of a service that take new requests. */
	readonly ready: (service: string) => readonly LiveInstance[];
	readonly entries: () => readonly InstanceEntry[];
	readonly digest: () => CatalogueDigest;
	/** True once both the configuration and the instances are known. */
	readonly isComplete: () => boolean;
	/** Increases whenever the result of `ready` may have changed. */
	readonly version: () => number;
	/** Drops lapsed instances whose retention has ended, and removal entries that are no longer needed. */
	readonly tick: (nowMs: number) => void;
};

type KnownInstance = {
	readonly entry: InstanceEntry;
	readonly receivedAtMs: number;
	readonly live?: LiveInstance;
	/** Set while an instance is kept although its registration has expired. */
	readonly keptUntilMs?: number;
};

const digestOf = ({instanceId, revision}: InstanceEntry): number => hashText(`${instanceId}\n${revision}`);

/** Creates an empty catalogue. */
export const createCatalogue = (): Catalogue => {
	const known = new Map<string, KnownInstance>();
	const readyByService = new Map<string, readonly LiveInstance[]>();
	const leavingRuns = createLeavingRuns();
	let config: FleetConfig | undefined;
	let digestSum = 0;
	let asOfRevision = -1;
	let version = 0;

	const markChanged = (): void => {
		version++;
		readyByService.clear();
	};

	const toKnownInstance = (entry: InstanceEntry, previous: KnownInstance | undefined, nowMs: number): KnownInstance => {
		const {record, instanceId} = entry;
		const live = previous?.live;
		if (record === null) {
			if (live?.bornAtMs === 0 && entry.isLapsed !== true) {
				// Without a time of birth, only its removal tells the next run from this one.
				leavingRuns.forget(live);
			}

			return entry.isLapsed === true && live !== undefined
				? {
					entry, receivedAtMs: nowMs, live, keptUntilMs: nowMs + Math.min(entry.usableForMs ?? lapsedRetentionMs, lapsedRetentionMs),
				}
				: {entry, receivedAtMs: nowMs};
		}

		if (record.bornAtMs < (live?.bornAtMs ?? 0)) {
			// A delayed write from an earlier run says nothing about the current one.
			return {...previous, entry, receivedAtMs: nowMs};
		}

		const knownSinceMs = live !== undefined && toRunKey(live) === toRunKey({...record, instanceId}) ? live.knownSinceMs : nowMs;
		return {entry, receivedAtMs: nowMs, live: {...record, instanceId, knownSinceMs}};
	};

	const merge = (entry: InstanceEntry, nowMs: number): boolean => {
		const previous = known.get(entry.instanceId);
		const knownRevision = previous?.entry.revision ?? -1;
		// A reader without an outage of the store knows that the instance was removed and did not lapse.
		const confirmsRemoval = knownRevision === entry.revision && previous?.entry.isLapsed === true && entry.isLapsed !== true;
		if (knownRevision >= entry.revision && !confirmsRemoval) {
			return false;
		}

		digestSum += digestOf(entry) - (previous === undefined ? 0 : digestOf(previous.entry));
		known.set(entry.instanceId, toKnownInstance(entry, previous, nowMs));
		return true;
	};

	const computeReady = (service: string): readonly LiveInstance[] => [...known.values()]
		.flatMap(({live}) => live ?? [])
		.filter(live => live.service === service && live.state === 'ready' && !leavingRuns.has(live))
		.toSorted((left, right) => left.instanceId < right.instanceId ? -1 : 1);

	const expire = (id: string, {entry, receivedAtMs, live, keptUntilMs}: KnownInstance, nowMs: number): void => {
		if (live !== undefined && keptUntilMs !== undefined && nowMs >= keptUntilMs) {
			known.set(id, {entry, receivedAtMs});
			markChanged();
			return;
		}

		if (entry.record === null && nowMs - receivedAtMs >= removedRetentionMs) {
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
			const changed = entries.filter(entry => merge(entry, nowMs));
			if (changed.length > 0) {
				markChanged();
			}

			asOfRevision = Math.max(asOfRevision, asOf);
			return changed;
		},
		markLeaving(run, nowMs) {
			const isNew = leavingRuns.add(run, nowMs);
			if (isNew) {
				markChanged();
			}

			return isNew;
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
				expire(id, value, nowMs);
			}

			leavingRuns.expire(nowMs, run => {
				const live = known.get(run.instanceId)?.live;
				return live !== undefined && toRunKey(live) === toRunKey(run);
			});
		},
	};
};

/**
 * The entries that follow from a full read: those that were read, and a removal for each known id that was not.
 *
 * The pages of a read are not a consistent snapshot: a missing id was removed as of the first page, and an entry
 * known at a later revision stays.
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
