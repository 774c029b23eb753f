/**
 * The configuration an agent holds: the highest revision of each record, whatever the source.
 *
 * Merging is commutative, associative and idempotent, so agents that have seen the same records in any order
 * hold the same state and the same digests.
 */

import {hashText} from '../random.ts';
import {createDigestTree} from './digest.ts';
import {parseRecord} from './schemas.ts';
import {readRecord, type RecordText} from './text.ts';
import type {ConfigRecord, RecordIssue} from './types.ts';

/** A record that did not check out. */
export type RefusedRecord = {
	/** Kind and name, `unknown` when not even these can be read. */
	readonly key: string;
	/** Revision as written; 0 when it can't be read. */
	readonly revision: number;
	readonly issues: readonly RecordIssue[];
};

/** What a merge changed. */
export type MergeReport = {
	/** Records now in force that were not before. */
	readonly accepted: readonly ConfigRecord[];
	/** Texts that changed the state and are worth passing on: accepted ones and refused ones that are kept. */
	readonly changedTexts: readonly string[];
	readonly refused: readonly RefusedRecord[];
};

/** Counts since the start. */
export type StoreCounters = {
	readonly accepted: number;
	/** Records that did not check out, counted once for each text that was new. */
	readonly refused: number;
	/** Records older than the one in force. */
	readonly stale: number;
	/** Records of equal revision and different content. */
	readonly conflicts: number;
};

/** The highest revision of each record. */
export type ConfigStore = {
	/** Merges records as written, from the service or a peer. */
	readonly merge: (written: readonly unknown[]) => MergeReport;
	/** Merges the texts that a peer sent. */
	readonly mergeTexts: (texts: readonly string[]) => MergeReport;
	/** The record in force, removed ones included; undefined when none is. */
	readonly get: (kind: 'service' | 'route', name: string) => ConfigRecord | undefined;
	/** All records in force, removed ones included. */
	readonly records: () => Iterable<ConfigRecord>;
	/** Number of records in force, removed ones included. */
	readonly size: () => number;
	/** Digest of the whole state. */
	readonly rootDigest: () => number;
	/** Digest of each group of buckets. */
	readonly groupDigests: () => readonly number[];
	/** Digest of each bucket of a group. */
	readonly bucketDigests: (group: number) => readonly number[];
	/** Texts of all records in a bucket, refused ones that are kept included. */
	readonly bucketTexts: (bucket: number) => readonly string[];
	readonly counters: () => StoreCounters;
};

type Held = RecordText & {
	/** Higher wins between records of equal revision, before their text is compared. */
	readonly caution: number;
	readonly digest: number;
};

type Slot = {
	inForce?: Held;
	/** The newest record that did not check out, if newer than the one in force. Passed on, never in force. */
	refused?: Held;
};

const unreadable: RefusedRecord = {
	key: 'unknown', revision: 0, issues: [{field: '', message: 'write an object with kind, name and a revision from 1'}],
};

const cautionOf = (record: ConfigRecord): number =>
	record.kind === 'route' && record.semantics === 'at-most-once' ? 1 : 0;

const compareText = (left: string, right: string): number => {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
};

/** Orders two records of the same key: revision, then at-most-once before idempotent, then the text itself. */
const compareHeld = (left: Held, right: Held): number =>
	left.revision - right.revision || left.caution - right.caution || compareText(left.text, right.text);

const isHigher = (candidate: Held, current: Held | undefined): boolean =>
	current === undefined || compareHeld(candidate, current) > 0;

const parseText = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

const parseHeld = (held: Held): ConfigRecord => parseRecord(JSON.parse(held.text)).unwrap();

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

	const replace = (slot: Slot, place: 'inForce' | 'refused', held: Held | undefined, key: string): void => {
		const previous = slot[place];
		tree.update(key, previous?.digest ?? 0, held?.digest ?? 0);
		slot[place] = held;
	};

	const countRejected = (candidate: Held, current: Held): void => {
		if (candidate.text === current.text) {
			return;
		}

		if (candidate.revision === current.revision) {
			counters.conflicts++;
			return;
		}

		counters.stale++;
	};

	const accept = (slot: Slot, held: Held): boolean => {
		const current = slot.inForce;
		if (current !== undefined && !isHigher(held, current)) {
			countRejected(held, current);
			return false;
		}

		if (current === undefined) {
			inForceCount++;
		} else if (current.revision === held.revision) {
			counters.conflicts++;
		}

		replace(slot, 'inForce', held, held.key);
		if (slot.refused !== undefined && slot.refused.revision <= held.revision) {
			replace(slot, 'refused', undefined, held.key);
		}

		counters.accepted++;
		return true;
	};

	const keepRefused = (slot: Slot, held: Held): boolean => {
		const isOlder = slot.inForce !== undefined && held.revision <= slot.inForce.revision;
		if (isOlder || !isHigher(held, slot.refused)) {
			return false;
		}

		replace(slot, 'refused', held, held.key);
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
				refused.push(unreadable);
				continue;
			}

			if (isKnown(text)) {
				continue;
			}

			const parsed = parseRecord(value);
			const digest = hashText(text.text);
			if (parsed.isOk()) {
				const record = parsed.value;
				if (accept(slotOf(text.key), {...text, caution: cautionOf(record), digest})) {
					accepted.set(text.key, record);
					changedTexts.set(text.key, text.text);
				}

				continue;
			}

			counters.refused++;
			refused.push({key: text.key, revision: text.revision, issues: parsed.error});
			if (keepRefused(slotOf(text.key), {...text, caution: 0, digest})) {
				changedTexts.set(`refused/${text.key}`, text.text);
			}
		}

		return {accepted: [...accepted.values()], changedTexts: [...changedTexts.values()], refused};
	};

	const slotTexts = (key: string): readonly string[] => {
		const slot = slots.get(key);
		return [slot?.inForce, slot?.refused].filter(held => held !== undefined).map(held => held.text);
	};

	return {
		merge,
		mergeTexts: texts => merge(texts.map(text => parseText(text))),
		get(kind, name) {
			const held = slots.get(`${kind}/${name}`)?.inForce;
			return held && parseHeld(held);
		},
		* records() {
			for (const {inForce} of slots.values()) {
				if (inForce !== undefined) {
					yield parseHeld(inForce);
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
