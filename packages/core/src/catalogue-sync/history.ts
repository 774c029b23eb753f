/**
 * What a gateway held in the last moments, so that a peer which is a few changes behind is sent just these.
 *
 * Answers the load in which many changes are under way: without it, each comparison made meanwhile would end in the
 * exchange of whole catalogues.
 */

import type {InstanceEntry} from '../catalogue/types.ts';
import {historyMs} from './constants.ts';

/** Recent states of the instances at one gateway. */
export type InstanceHistory = {
	/** Takes the sum over the instances as of now, and the revision up to which they are known; to be called after each change and on each tick. */
	readonly note: (sum: number, asOf: number, nowMs: number) => void;
	/** Takes statements that were merged. */
	readonly noteMerged: (entries: readonly InstanceEntry[], nowMs: number) => void;
	/** How long ago the instances were in the state of `sum`: 0 for now, undefined when they were not. */
	readonly ageMs: (sum: number, nowMs: number) => number | undefined;
	/** What was merged since the state of `sum`. */
	readonly mergedSince: (sum: number) => readonly InstanceEntry[];
	/** Revision up to which the instances were known in the oldest state that is remembered and had all of them; -1 when none is. */
	readonly oldestAsOf: () => number;
};

type State = {
	readonly sum: number;
	readonly asOf: number;
	/** Time at which it was replaced; undefined for the present one. */
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
		note(sum, asOf, nowMs) {
			if (states.at(-1)?.sum === sum) {
				return;
			}

			const kept = states.filter(({endedAtMs}) => endedAtMs === undefined || nowMs - endedAtMs < historyMs);
			states = [...kept.map(state => ({...state, endedAtMs: state.endedAtMs ?? nowMs})), {sum, asOf, endedAtMs: undefined}];
			merged = merged.filter(({atMs}) => nowMs - atMs < historyMs * 2);
		},
		noteMerged(entries, nowMs) {
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
