/** Naive reference for placement: compares every pair of entries. */

import {entriesPerDataCentre, type PlacementEntry, type ServiceSize} from '../placement/placement.ts';
import {rankNodes} from '../placement/rendezvous.ts';

/**
 * Counts, for each usable entry, the usable entries of its data centre that rank higher. An entry is placed if there are
 * fewer than `entriesPerDataCentre`.
 */
export const naivePlaceService = (size: ServiceSize, entries: readonly PlacementEntry[]): ReadonlySet<string> => {
	const usable = entries.filter(entry => entry.usable);
	const ranksHigher = (left: PlacementEntry, right: PlacementEntry): boolean => {
		const nodes = [left, right].map(({hostId, weight}) => ({id: hostId, weight}));
		return rankNodes(size.service, nodes, 1)[0]!.id === left.hostId;
	};

	const placed = usable.filter(entry => {
		const others = usable.filter(other => other !== entry && other.dataCentre === entry.dataCentre);
		return others.filter(other => ranksHigher(other, entry)).length < entriesPerDataCentre(size);
	});
	return new Set(placed.map(({hostId}) => hostId));
};
