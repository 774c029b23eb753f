/**
 * Tracks which requests were in flight at instances that crashed.
 *
 * A request that was in flight at one crash runs on a single further instance, without another suspect there; after two
 * crashes it is refused. A later answer clears it. Entries exchange reports; duplicate reports count once.
 */

import type {Placement} from '../load/types.ts';
import {
	maxInstancesLost, maxAnswers, maxSuspects, sameCrashMs, answerLifetimeMs, suspectLifetimeMs,
} from './constants.ts';
import {createRecentMap} from './recent-map.ts';
import type {CrashReport} from './types.ts';

/** Crash history of one entry, for all of its services. */
export type CrashHistory = {
	/** Records a crash seen by this entry or reported by another; true if it is new. */
	readonly record: (report: CrashReport, nowMs: number) => boolean;
	/** Records an answer to a request. */
	readonly recordAnswer: (fingerprint: string, nowMs: number) => void;
	/** Removes a crash that this entry recorded, when the instance turns out to be alive. */
	readonly withdraw: (fingerprint: string, instanceId: string) => void;
	/** Returns where a request with this fingerprint may run. */
	readonly placementOf: (fingerprint: string, nowMs: number) => Placement;
	/** Number of fingerprints kept, of any kind. */
	readonly size: () => number;
};

type Crash = {
	readonly instanceId: string;
	readonly atMs: number;
};

type Suspect = {
	readonly crashes: readonly Crash[];
	readonly seenAtMs: number;
};

/** Creates an empty history, bounded in size and time. */
export const createCrashHistory = (): CrashHistory => {
	const suspects = createRecentMap<Suspect>(maxSuspects);
	const refused = createRecentMap<Suspect>(maxSuspects);
	const answeredAtMs = createRecentMap<number>(maxAnswers);

	const find = (fingerprint: string, nowMs: number): Suspect | undefined => {
		const suspect = refused.get(fingerprint) ?? suspects.get(fingerprint);
		return suspect !== undefined && nowMs - suspect.seenAtMs < suspectLifetimeMs ? suspect : undefined;
	};

	const remove = (fingerprint: string): void => {
		suspects.delete(fingerprint);
		refused.delete(fingerprint);
	};

	const store = (fingerprint: string, suspect: Suspect): void => {
		remove(fingerprint);
		if (suspect.crashes.length >= maxInstancesLost) {
			refused.set(fingerprint, suspect);
		} else if (suspect.crashes.length > 0) {
			suspects.set(fingerprint, suspect);
		}
	};

	return {
		record({fingerprint, instanceId, ageMs}, nowMs) {
			const atMs = nowMs - Math.max(0, ageMs);
			const isCleared = (answeredAtMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY) > atMs;
			const known = find(fingerprint, nowMs)?.crashes ?? [];
			const isKnown = known.some(crash => crash.instanceId === instanceId && Math.abs(crash.atMs - atMs) < sameCrashMs);
			if (isKnown || isCleared || ageMs >= suspectLifetimeMs) {
				return false;
			}

			answeredAtMs.delete(fingerprint);
			if (known.length < maxInstancesLost) {
				store(fingerprint, {crashes: [...known, {instanceId, atMs}], seenAtMs: nowMs});
			}

			return true;
		},
		recordAnswer(fingerprint, nowMs) {
			remove(fingerprint);
			answeredAtMs.set(fingerprint, nowMs);
		},
		withdraw(fingerprint, instanceId) {
			const suspect = refused.get(fingerprint) ?? suspects.get(fingerprint);
			if (suspect !== undefined) {
				store(fingerprint, {...suspect, crashes: suspect.crashes.filter(crash => crash.instanceId !== instanceId)});
			}
		},
		placementOf(fingerprint, nowMs) {
			const suspect = find(fingerprint, nowMs);
			if (suspect === undefined) {
				const answeredMs = answeredAtMs.get(fingerprint);
				return {type: answeredMs !== undefined && nowMs - answeredMs < answerLifetimeMs ? 'anywhere' : 'homes'};
			}

			store(fingerprint, {...suspect, seenAtMs: nowMs});
			return suspect.crashes.length >= maxInstancesLost
				? {type: 'refused', kind: 'crash-suspect'}
				: {type: 'alone', excludedIds: suspect.crashes.map(crash => crash.instanceId)};
		},
		size: () => suspects.size() + refused.size() + answeredAtMs.size(),
	};
};
