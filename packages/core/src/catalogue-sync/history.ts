/**
 * Recent states of the instances at a gateway, so that a peer that is a few changes behind is sent only these.
 *
 * Without it, each comparison made while many changes are being distributed would end in the exchange of complete
 * catalogues.
 */

import type {InstanceEntry} from '../catalogue/types.ts';
import {historyMs} from './constants.ts';

/** Recent states of the instances at one gateway. */
export type InstanceHistory = {
	/** Records the checksum of the instances and the revision up to which they are known; to be called after each change and on each tick. */
	readonly recordState: (sum: number, asOf: number, nowMs: number) => void;
	/** Records entries that were merged. */
	readonly recordMerged: (entries: readonly InstanceEntry[], nowMs: number) => void;
	/** Time since the instances were in the state of `sum`: 0 for the current state, undefined for an unknown one. */
	readonly ageMs: (sum: number, nowMs: number) => number | undefined;
	/** Entries that were merged since the state of `sum`. */
	readonly mergedSince: (sum: number) => readonly InstanceEntry[];
	/** Revision of the oldest remembered state in which all instances were known; -1 when there is none. */
	readonly oldestAsOf: () => number;
};

type State = {
	readonly sum: number;
	readonly asOf: number;
	/** Time at which it was replaced; undefined for the current state. */
	readonly endedAtMs: number | undefined;
};

type Merged = {
	readonly atMs: number;
	readonly entry: InstanceEntry;
};

/** Creates an empty history. */
export const createInstanceHistory = (): InstanceHistory => {
	let states: readonly State[] = [];
	let merged: readonly Merged[] = [];

	const find = (sum: number): State | undefined => states.findLast(state => state.sum === sum);

	return {
		recordState(sum, asOf, nowMs) {
			if (states.at(-1)?.sum === sum) {
				return;
			}

			const kept = states.filter(({endedAtMs}) => endedAtMs === undefined || nowMs - endedAtMs < historyMs);
			states = [...kept.map(state => ({...state, endedAtMs: state.endedAtMs ?? nowMs})), {sum, asOf, endedAtMs: undefined}];
			merged = merged.filter(({atMs}) => nowMs - atMs < historyMs * 2);
		},
		recordMerged(entries, nowMs) {
			merged = [...merged, ...entries.map(entry => ({atMs: nowMs, entry}))];
		},
		ageMs(sum, nowMs) {
			const state = find(sum);
			return state === undefined ? undefined : nowMs - (state.endedAtMs ?? nowMs);
		},
		oldestAsOf: () => states.find(({asOf}) => asOf !== -1)?.asOf ?? -1,
		mergedSince(sum) {
			const endedAtMs = find(sum)?.endedAtMs;
			return endedAtMs === undefined ? [] : merged.filter(({atMs}) => atMs >= endedAtMs).map(({entry}) => entry);
		},
	};
};
