/**
 * What becomes of an instance when the store has come back from an older copy and an entry of the later era arrives for its id.
 *
 * The entry may be older than what is known, and what was written since is written again within about two seconds: an instance
 * that has reported its leaving or was removed must not get requests again for an entry that was written before.
 */

import {lostRetentionMs, withheldMs} from './constants.ts';
import {toRunKey} from './leaving-runs.ts';
import {eraOf, revisionOf} from './store-order.ts';
import type {InstanceEntry, InstanceRecord, LiveInstance} from './types.ts';

/** What is known of an id before the entry. */
export type BeforeEra = {
	readonly entry: InstanceEntry;
	readonly live?: LiveInstance;
	/** The instance whose registration was removed, while none is registered. */
	readonly gone?: LiveInstance;
	/** Set while the instance of an entry that may be older than its removal gets no requests. */
	readonly withheldUntilMs?: number;
};

/** How an entry that names an instance is taken. */
export type EraDecision
	/** As any newer entry. */
	= | {readonly type: 'take'}
	/** Its instance was removed later than the entry may have been written: no requests until then, or until it is written again. */
		| {readonly type: 'withhold'; readonly untilMs: number}
	/** A later run of the instance is known, which stays in use until then, in which it is written again if it lives. */
		| {readonly type: 'keep-known'; readonly untilMs: number};

/** Whether an entry is of a later era than what is known of its id. */
export const isOfLaterEra = (known: Pick<BeforeEra, 'entry'>, entry: InstanceEntry): boolean =>
	eraOf(entry.revision) > eraOf(known.entry.revision);

/** Whether a record describes this run of the instance or an earlier one. */
const isSameOrEarlierRun = (record: InstanceRecord, known: LiveInstance): boolean =>
	record.bornAtMs < known.bornAtMs || toRunKey({...record, instanceId: known.instanceId}) === toRunKey(known);

/** Decides about an entry of a later era. */
export const decideAtEraChange = (known: BeforeEra, {record, revision}: InstanceEntry & {readonly record: InstanceRecord}, nowMs: number): EraDecision => {
	const {live, gone, withheldUntilMs} = known;
	const [written, knownWritten] = [revisionOf(revision), revisionOf(known.entry.revision)];
	// All that a copy holds was written before what is missing from it, so that a higher revision was written since its return.
	if (gone !== undefined && written < knownWritten && isSameOrEarlierRun(record, gone)) {
		return {type: 'withhold', untilMs: nowMs + withheldMs};
	}

	if (live !== undefined && withheldUntilMs !== undefined && written <= knownWritten && isSameOrEarlierRun(record, live)) {
		return {type: 'withhold', untilMs: withheldUntilMs};
	}

	if (live !== undefined && record.bornAtMs < live.bornAtMs) {
		return {type: 'keep-known', untilMs: nowMs + lostRetentionMs};
	}

	return {type: 'take'};
};
