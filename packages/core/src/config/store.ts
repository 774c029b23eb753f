/**
 * The configuration held by an agent: the highest revision of each record, from whatever source.
 *
 * Merging is commutative, associative and idempotent, so agents that have seen the same records in any order
 * hold the same state and the same digests.
 */

import {hashText} from '../random.ts';
import {createDigestTree} from './digest.ts';
import {parseRecord} from './schemas.ts';
import {readRecord, type RecordText} from './text.ts';
import type {ConfigRecord, RecordIssue} from './types.ts';

/** A record that failed validation. */
export type RefusedRecord = {
	/** Kind and name; `unknown` when the record is unreadable. */
	readonly key: string;
	/** Revision as written; 0 when it can't be read. */
	readonly revision: number;
	readonly issues: readonly RecordIssue[];
};

/** The changes made by a merge. */
export type MergeReport = {
	/** Records that came into force. */
	readonly accepted: readonly ConfigRecord[];
	/** Texts that changed the state and should be sent on: accepted records, and refused ones that are kept. */
	readonly changedTexts: readonly string[];
	readonly refused: readonly RefusedRecord[];
};

/** Counters since the start. */
export type StoreCounters = {
	readonly accepted: number;
	/** Records that failed validation. A text that is already kept isn't counted again. */
	readonly refused: number;
	/** Records older than the one in force. */
	readonly stale: number;
	/** Records with the revision of the one in force and different content. */
	readonly conflicts: number;
};

/** Holds the highest revision of each record. */
export type ConfigStore = {
	/** Merges records as written, from the service or a peer. */
	readonly merge: (written: readonly unknown[]) => MergeReport;
	/** Merges the texts that a peer sent. */
	readonly mergeTexts: (texts: readonly string[]) => MergeReport;
	/** The record in force, which may be a removal; undefined when there is none. */
	readonly get: (kind: 'service' | 'route', name: string) => ConfigRecord | undefined;
	/** All records in force, including removals. */
	readonly records: () => Iterable<ConfigRecord>;
	/** Number of records in force, including removals. */
	readonly size: () => number;
	/** Digest of the whole state. */
	readonly rootDigest: () => number;
	/** Digest of each group of buckets. */
	readonly groupDigests: () => readonly number[];
	/** Digest of each bucket of a group. */
	readonly bucketDigests: (group: number) => readonly number[];
	/** Texts of all records in a bucket, including refused ones that are kept. */
	readonly bucketTexts: (bucket: number) => readonly string[];
	readonly counters: () => StoreCounters;
};

type StoredRecord = RecordText & {
	/** Of records with equal revision the one with the higher rank wins; their texts are compared only if this is equal too. */
	readonly tieBreakRank: number;
	readonly digest: number;
};

type Slot = {
	inForce?: StoredRecord;
	/** The newest record that failed validation, if newer than the one in force. Sent on to other agents, but never in force. */
	refused?: StoredRecord;
};

const unreadableRecord: RefusedRecord = {
	key: 'unknown', revision: 0, issues: [{field: '', message: 'write an object with kind, name and a revision from 1'}],
};

const tieBreakRankOf = (record: ConfigRecord): number =>
	record.kind === 'route' && record.semantics === 'at-most-once' ? 1 : 0;

const compareText = (left: string, right: string): number => {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
};

/** Compares two records of the same key: by revision, then at-most-once routes above others, then by the text itself. */
const compareStored = (left: StoredRecord, right: StoredRecord): number =>
	left.revision - right.revision || left.tieBreakRank - right.tieBreakRank || compareText(left.text, right.text);

const isHigher = (candidate: StoredRecord, current: StoredRecord | undefined): boolean =>
	current === undefined || compareStored(candidate, current) > 0;

const parseText = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

const parseStored = (stored: StoredRecord): ConfigRecord => parseRecord(JSON.parse(stored.text)).unwrap();

/** Creates an empty store. */
export const createConfigStore = (): ConfigStore => {
	const slots = new Map<string, Slot>();
	const tree = createDigestTree();
	const counters = {
		accepted: 0, refused: 0, stale: 0, conflicts: 0,
	};
	let inForceCount = 0;

	const slotOf = (key: string): Slot => {
		const existing = slots.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const created: Slot = {};
		slots.set(key, created);
		tree.addKey(key);
		return created;
	};

	const replace = (slot: Slot, field: 'inForce' | 'refused', stored: StoredRecord | undefined, key: string): void => {
		const previous = slot[field];
		tree.update(key, previous?.digest ?? 0, stored?.digest ?? 0);
		slot[field] = stored;
	};

	const countOutdated = (candidate: StoredRecord, current: StoredRecord): void => {
		if (candidate.text === current.text) {
			return;
		}

		if (candidate.revision === current.revision) {
			counters.conflicts++;
			return;
		}

		counters.stale++;
	};

	const accept = (slot: Slot, stored: StoredRecord): boolean => {
		const current = slot.inForce;
		if (current !== undefined && !isHigher(stored, current)) {
			countOutdated(stored, current);
			return false;
		}

		if (current === undefined) {
			inForceCount++;
		} else if (current.revision === stored.revision) {
			counters.conflicts++;
		}

		replace(slot, 'inForce', stored, stored.key);
		if (slot.refused !== undefined && slot.refused.revision <= stored.revision) {
			replace(slot, 'refused', undefined, stored.key);
		}

		counters.accepted++;
		return true;
	};

	const keepRefused = (slot: Slot, stored: StoredRecord): boolean => {
		const isOlder = slot.inForce !== undefined && stored.revision <= slot.inForce.revision;
		if (isOlder || !isHigher(stored, slot.refused)) {
			return false;
		}

		replace(slot, 'refused', stored, stored.key);
		return true;
	};

	const isKnown = (text: RecordText): boolean => {
		const slot = slots.get(text.key);
		return slot?.inForce?.text === text.text || slot?.refused?.text === text.text;
	};

	const merge = (written: readonly unknown[]): MergeReport => {
		const accepted = new Map<string, ConfigRecord>();
		const changedTexts = new Map<string, string>();
		const refused: RefusedRecord[] = [];
		for (const value of written) {
			const text = readRecord(value);
			if (text === undefined) {
				counters.refused++;
				refused.push(unreadableRecord);
				continue;
			}

			if (isKnown(text)) {
				continue;
			}

			const parsed = parseRecord(value);
			const digest = hashText(text.text);
			if (parsed.isOk()) {
				const record = parsed.value;
				if (accept(slotOf(text.key), {...text, tieBreakRank: tieBreakRankOf(record), digest})) {
					accepted.set(text.key, record);
					changedTexts.set(text.key, text.text);
				}

				continue;
			}

			counters.refused++;
			refused.push({key: text.key, revision: text.revision, issues: parsed.error});
			if (keepRefused(slotOf(text.key), {...text, tieBreakRank: 0, digest})) {
				changedTexts.set(`refused/${text.key}`, text.text);
			}
		}

		return {accepted: [...accepted.values()], changedTexts: [...changedTexts.values()], refused};
	};

	const slotTexts = (key: string): readonly string[] => {
		const slot = slots.get(key);
		return [slot?.inForce, slot?.refused].filter(stored => stored !== undefined).map(stored => stored.text);
	};

	return {
		merge,
		mergeTexts: texts => merge(texts.map(text => parseText(text))),
		get(kind, name) {
			const stored = slots.get(`${kind}/${name}`)?.inForce;
			return stored && parseStored(stored);
		},
		* records() {
			for (const {inForce} of slots.values()) {
				if (inForce !== undefined) {
					yield parseStored(inForce);
				}
			}
		},
		size: () => inForceCount,
		rootDigest: tree.rootDigest,
		groupDigests: tree.groupDigests,
		bucketDigests: tree.bucketDigests,
		bucketTexts: bucket => tree.bucketKeys(bucket).flatMap(key => slotTexts(key)),
		counters: () => ({...counters}),
	};
};
