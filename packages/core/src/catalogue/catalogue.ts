/**
 * Holds the newest configuration and the newest entry of each instance.
 *
 * Entries arrive in any order from the store and from peers. Configurations are ordered by version and instance
 * entries by the era and revision of the store, so that nothing reverts to an older state.
 */

import {hashText} from '../random.ts';
import {
	adoptCompleteness, expireLapses, extendCompleteness, forgetRemoval, nothingComplete, removalByAbsence, type Completeness, type Coverage,
} from './completeness.ts';
import {lapsedRetentionMs, lostRetentionMs, removedRetentionMs} from './constants.ts';
import {isNewerEntry, isOfEarlierRun, markIfDelayed} from './delayed-write.ts';
import {
	decideAtEraChange, isOfLaterEra, type BeforeEra, type EraDecision,
} from './era-change.ts';
import {createLeavingRuns, toRunKey} from './leaving-runs.ts';
import {eraOf} from './store-order.ts';
import type {
	FleetConfig, InstanceEntry, InstanceRecord, InstanceRun, LiveInstance,
} from './types.ts';

/** Summary of a catalogue. Catalogues with equal digests hold the same content. */
export type CatalogueDigest = {
	/** 0 while no configuration is known. */
	readonly configVersion: number;
	/** Sum of the hashes of the known instance entries. */
	readonly instances: number;
	/** Order in the store (`toStoreOrder`) up to which the instances are known; -1 before they were read. */
	readonly instancesAsOf: number;
};

/** The catalogue of one process. */
export type Catalogue = {
	/** Replaces the configuration; returns false when the given one is not newer. */
	readonly mergeConfig: (config: FleetConfig) => boolean;
	/**
	 * Merges instance entries, read at the order `asOf` of the store, and returns what changed the catalogue: the entries, and removals in
	 * place of those that are older than the removal of their instance, and marked those whose write was delayed. `coverage` tells which changes the entries hold without a gap; absent where that is not known.
	 */
	readonly mergeInstances: (entries: readonly InstanceEntry[], asOf: number, nowMs: number, coverage?: Coverage) => readonly InstanceEntry[];
	/** Records that a run of an instance has announced that it leaves; returns false when that is known. Only the registration of another run ends it. */
	readonly markLeaving: (run: InstanceRun, nowMs: number) => boolean;
	readonly config: () => FleetConfig | undefined;
	/** Instances of a service that take new requests. */
	readonly ready: (service: string) => readonly LiveInstance[];
	readonly entries: () => readonly InstanceEntry[];
	readonly digest: () => CatalogueDigest;
	readonly completeness: () => Completeness;
	/** Records that a peer with the same instances knows all of them up to `asOf`. */
	readonly adoptCompleteness: (asOf: number) => void;
	/** True once both the configuration and the instances are known. */
	readonly isComplete: () => boolean;
	/** Increases whenever the result of `ready` may have changed. */
	readonly version: () => number;
	/** Drops lapsed instances whose retention has ended, and removal entries that are no longer needed. */
	readonly tick: (nowMs: number) => void;
};

type KnownInstance = BeforeEra & {
	readonly receivedAtMs: number;
	/** Set while an instance is kept although its registration has expired, or the store has lost it. */
	readonly keptUntilMs?: number;
};

/** Whether the instance takes new requests, as far as its registration says. */
const isReady = ({live, withheldUntilMs}: KnownInstance): boolean => live?.state === 'ready' && withheldUntilMs === undefined;

/** Gateways that know differently whether a write was delayed must not take their catalogues for equal. */
const digestOf = ({instanceId, revision, isDelayed}: InstanceEntry): number => hashText(`${instanceId}\n${revision}${isDelayed === true ? '\ndelayed' : ''}`);

/** Creates an empty catalogue. */
export const createCatalogue = (): Catalogue => {
	const known = new Map<string, KnownInstance>();
	const readyByService = new Map<string, readonly LiveInstance[]>();
	const leavingRuns = createLeavingRuns();
	let config: FleetConfig | undefined;
	let digestSum = 0;
	let asOfRevision = -1;
	let completeness = nothingComplete;
	let version = 0;

	const markChanged = (): void => {
		version++;
		readyByService.clear();
	};

	const toGone = (entry: InstanceEntry, receivedAtMs: number, gone: LiveInstance | undefined): KnownInstance => ({entry, receivedAtMs, ...(gone !== undefined && {gone})});

	const toRemoved = (entry: InstanceEntry, previous: KnownInstance | undefined, nowMs: number): KnownInstance => {
		const live = previous?.live;
		if (live?.bornAtMs === 0 && entry.isLapsed !== true) {
			// Without a time of birth, only its removal tells the next run from this one.
			leavingRuns.forget(live);
		}

		const retentionMs = previous !== undefined && isOfLaterEra(previous, entry) ? lostRetentionMs : lapsedRetentionMs;
		return entry.isLapsed === true && live !== undefined && previous?.withheldUntilMs === undefined
			? {
				entry, receivedAtMs: nowMs, live, keptUntilMs: nowMs + Math.min(entry.usableForMs ?? retentionMs, retentionMs),
			}
			: toGone(entry, nowMs, live ?? previous?.gone);
	};

	const toRegistered = (entry: InstanceEntry & {readonly record: InstanceRecord}, previous: KnownInstance | undefined, nowMs: number): KnownInstance => {
		const {record, instanceId} = entry;
		const live = previous?.live;
		if (record.bornAtMs < (live?.bornAtMs ?? 0) || (live === undefined && isOfEarlierRun(record, previous?.gone))) {
			// A delayed write from an earlier run says nothing about the current one, or the last one.
			return {...previous, entry, receivedAtMs: nowMs};
		}

		const knownSinceMs = live !== undefined && toRunKey(live) === toRunKey({...record, instanceId}) ? live.knownSinceMs : nowMs;
		return {entry, receivedAtMs: nowMs, live: {...record, instanceId, knownSinceMs}};
	};

	const toKnownInstance = (entry: InstanceEntry, previous: KnownInstance | undefined, nowMs: number): KnownInstance => {
		const {record} = entry;
		const isLaterEra = previous !== undefined && isOfLaterEra(previous, entry);
		if (isLaterEra && previous.live?.state === 'draining') {
			// The store may have lost its report.
			leavingRuns.add(previous.live, nowMs);
		}

		if (record === null) {
			return toRemoved(entry, previous, nowMs);
		}

		const decision: EraDecision = isLaterEra ? decideAtEraChange(previous, {...entry, record}, nowMs) : {type: 'take'};
		const registered = toRegistered({...entry, record}, previous, nowMs);
		switch (decision.type) {
			case 'take': {
				return registered;
			}

			case 'withhold': {
				return {...registered, withheldUntilMs: decision.untilMs};
			}

			case 'keep-known': {
				return {...registered, keptUntilMs: decision.untilMs};
			}
		}
	};

	/** Returns what came into force; undefined when that is not newer than what is known. */
	const merge = (entry: InstanceEntry, nowMs: number): InstanceEntry | undefined => {
		const previous = known.get(entry.instanceId);
		if (entry.record !== null && eraOf(entry.revision) < eraOf(asOfRevision)) {
			// The store has lost it, and all that is there in the later era is known.
			return undefined;
		}

		// The id of an older removal is as absent as one that is not known: its next registration has come and gone.
		const isAbsent = previous === undefined || (previous.entry.record === null && entry.revision > previous.entry.revision);
		const removal = isAbsent ? removalByAbsence(completeness, entry, nowMs) : undefined;
		if (removal !== undefined) {
			digestSum += digestOf(removal) - (previous === undefined ? 0 : digestOf(previous.entry));
			known.set(entry.instanceId, toKnownInstance(removal, toKnownInstance(entry, previous, nowMs), nowMs));
			return removal;
		}

		// A reader without an outage of the store knows that the instance was removed and did not lapse.
		const confirmsRemoval = previous?.entry.revision === entry.revision && previous.entry.isLapsed === true && entry.isLapsed !== true;
		if (previous !== undefined && !isNewerEntry(entry, previous.entry) && !confirmsRemoval) {
			return undefined;
		}

		const taken = markIfDelayed(entry, previous);
		digestSum += digestOf(taken) - (previous === undefined ? 0 : digestOf(previous.entry));
		known.set(taken.instanceId, toKnownInstance(taken, previous, nowMs));
		return taken;
	};

	const computeReady = (service: string): readonly LiveInstance[] => [...known.values()]
		.flatMap(instance => isReady(instance) ? instance.live! : [])
		.filter(live => live.service === service && !leavingRuns.has(live))
		.toSorted((left, right) => left.instanceId < right.instanceId ? -1 : 1);

	const expire = (id: string, instance: KnownInstance, nowMs: number): void => {
		const {
			entry, receivedAtMs, live, keptUntilMs, withheldUntilMs,
		} = instance;
		if (live !== undefined && keptUntilMs !== undefined && nowMs >= keptUntilMs) {
			known.set(id, toGone(entry, receivedAtMs, live));
			markChanged();
			return;
		}

		if (withheldUntilMs !== undefined && nowMs >= withheldUntilMs) {
			known.set(id, {entry, receivedAtMs, ...(live !== undefined && {live})});
			markChanged();
			return;
		}

		if (entry.record === null && nowMs - receivedAtMs >= removedRetentionMs) {
			digestSum -= digestOf(entry);
			known.delete(id);
			completeness = forgetRemoval(completeness, entry);
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
		mergeInstances(entries, asOf, nowMs, coverage) {
			const changed = entries.map(entry => merge(entry, nowMs)).filter(entry => entry !== undefined);
			if (changed.length > 0) {
				markChanged();
			}

			asOfRevision = Math.max(asOfRevision, asOf);
			if (coverage !== undefined) {
				completeness = extendCompleteness(completeness, entries, coverage);
			}

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
		completeness: () => completeness,
		adoptCompleteness(asOf) {
			completeness = adoptCompleteness(completeness, asOf);
		},
		isComplete: () => config !== undefined && asOfRevision >= 0,
		version: () => version,
		tick(nowMs) {
			completeness = expireLapses(completeness, nowMs);
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
 * known at a later revision stays. With `lapse` the missing may register again, and may be used for `usableForMs`.
 */
export const reconcileFullRead = (
	read: readonly InstanceEntry[],
	firstPageAsOf: number,
	known: readonly InstanceEntry[],
	lapse: false | {readonly usableForMs?: number},
): readonly InstanceEntry[] => {
	const readIds = new Set(read.map(({instanceId}) => instanceId));
	const missing = known.filter(({instanceId, record, revision}) => record !== null && !readIds.has(instanceId) && revision <= firstPageAsOf);
	return [
		...read,
		...missing.map(({instanceId}): InstanceEntry => ({
			instanceId, revision: firstPageAsOf, record: null, ...(lapse !== false && {isLapsed: true, ...lapse}),
		})),
	];
};
