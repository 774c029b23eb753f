/**
 * Up to which order of the store this process knows all instances.
 *
 * Up to there the absence of an id is knowledge too: an older entry of an id that is not known is of an instance that has been removed
 * since, although the removal's own entry is known no more, or never was. The order of the newest message does not tell
 * that, since an earlier message may have been lost.
 */

import type {InstanceEntry} from './types.ts';

/** The changes of the store that a list of entries holds without a gap. */
export type Coverage = {
	/** Order after which the changes begin; -1 where the list holds all instances. */
	readonly sinceAsOf: number;
	/** Order up to which the list holds them. */
	readonly asOf: number;
	/**
	 * Until when an instance that a list of all lacks may be registered again, its registration having expired in an outage of the store; absent
	 * where that is ruled out.
	 */
	readonly lapsesUntilMs?: number;
};

/** Up to where all instances are known. */
export type Completeness = {
	/** Order up to which they are known; -1 for none. */
	readonly asOf: number;
	/** Order since which nothing has changed up to `asOf`. */
	readonly changedAsOf: number;
	/** Order since which each removal is known as an entry of its own. */
	readonly removalsSinceAsOf: number;
	/** Until when instances that are not known may be registered again; absent where that is ruled out. */
	readonly lapsesUntilMs?: number;
};

/** Nothing is known. */
export const nothingComplete: Completeness = {asOf: -1, changedAsOf: -1, removalsSinceAsOf: -1};

/** What is complete after the merge of entries with a coverage. */
export const extendCompleteness = (known: Completeness, entries: readonly InstanceEntry[], {sinceAsOf, asOf, lapsesUntilMs}: Coverage): Completeness => {
	if (sinceAsOf > known.asOf || asOf <= known.asOf) {
		return known;
	}

	if (sinceAsOf === -1) {
		// A list of all instances does not show when others were removed.
		return {
			asOf, changedAsOf: asOf, removalsSinceAsOf: asOf, ...(lapsesUntilMs !== undefined && {lapsesUntilMs}),
		};
	}

	let {changedAsOf} = known;
	for (const {revision} of entries) {
		changedAsOf = Math.max(changedAsOf, revision);
	}

	return {...known, asOf, changedAsOf};
};

/** What is complete where the same instances are known as at a peer that is complete up to `asOf`. */
export const adoptCompleteness = (known: Completeness, asOf: number): Completeness => asOf <= known.asOf
	? known
	: {asOf, changedAsOf: asOf, removalsSinceAsOf: known.asOf === -1 ? asOf : known.removalsSinceAsOf};

/** Records that the entry of a removal is known no longer. */
export const forgetRemoval = (known: Completeness, {revision}: InstanceEntry): Completeness =>
	({...known, removalsSinceAsOf: Math.max(known.removalsSinceAsOf, revision)});

/** Rules out that unknown instances are registered again once the time for that has passed. */
export const expireLapses = (known: Completeness, nowMs: number): Completeness => {
	const {lapsesUntilMs, ...others} = known;
	return lapsesUntilMs === undefined || nowMs < lapsesUntilMs ? known : others;
};

/** The removal that follows from the absence of the id that `entry` names; undefined where the entry may be news. */
export const removalByAbsence = ({asOf, lapsesUntilMs}: Completeness, {instanceId, revision, record}: InstanceEntry, nowMs: number): InstanceEntry | undefined =>
	record === null || revision > asOf
		? undefined
		: {
			instanceId, revision: asOf, record: null, ...(lapsesUntilMs !== undefined && nowMs < lapsesUntilMs && {isLapsed: true, usableForMs: lapsesUntilMs - nowMs}),
		};
