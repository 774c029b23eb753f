/** Selects the entries that the callers of a service are sent to: a few in each data centre, by weight. */

import type {Random} from '../random.ts';
import {rankNodes} from './rendezvous.ts';

/** An entry host that services may be placed on. */
export type PlacementEntry = {
	readonly hostId: string;
	readonly dataCentre: string;
	/** Share of the services relative to other entries; above 0. */
	readonly weight: number;
	/** False when the entry is leaving, suspected or gone. */
	readonly usable: boolean;
};

/** Settings of the placement. */
export type PlacementConfig = {
	/**
	 * Minimum number of entries of a service in each data centre.
	 * @default 2
	 */
	readonly minEntries?: number;
	/**
	 * Slots of the whole service for which one entry is selected in each data centre.
	 * @default 16
	 */
	readonly slotsPerEntry?: number;
};

/** The size of a service. */
export type ServiceSize = {
	readonly service: string;
	readonly instances: number;
	readonly slotsPerInstance: number;
};

const defaultMinEntries = 2;
const defaultSlotsPerEntry = 16;

/** Number of entries for a service in each data centre. */
export const entriesPerDataCentre = (size: ServiceSize, config: PlacementConfig = {}): number => {
	const {minEntries = defaultMinEntries, slotsPerEntry = defaultSlotsPerEntry} = config;
	const bySize = Math.ceil((size.instances * size.slotsPerInstance) / slotsPerEntry);
	return Math.max(minEntries, bySize);
};

const groupByDataCentre = (entries: readonly PlacementEntry[]): ReadonlyMap<string, readonly PlacementEntry[]> => {
	const groups = new Map<string, PlacementEntry[]>();
	for (const entry of entries) {
		const group = groups.get(entry.dataCentre);
		if (group === undefined) {
			groups.set(entry.dataCentre, [entry]);
			continue;
		}

		group.push(entry);
	}

	return groups;
};

/**
 * Selects the entries of a service: the highest ranked usable ones of each data centre.
 *
 * Any usable entry serves any service, so an outdated view still sends callers to a working entry as long as one of
 * the entries that it names is alive. The result is empty only when no entry is usable.
 */
export const placeService = (
	size: ServiceSize,
	entries: readonly PlacementEntry[],
	config: PlacementConfig = {},
): readonly PlacementEntry[] => {
	const count = entriesPerDataCentre(size, config);
	const usable = entries.filter(entry => entry.usable && entry.weight > 0);
	return [...groupByDataCentre(usable)]
		.toSorted(([left], [right]) => left < right ? -1 : 1)
		.flatMap(([, group]) => {
			const nodes = group.map(entry => ({id: entry.hostId, weight: entry.weight, entry}));
			return rankNodes(size.service, nodes, count).map(({entry}) => entry);
		});
};

const shuffle = <T>(items: readonly T[], random: Random): readonly T[] => {
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = Math.floor(random.next() * (index + 1));
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled;
};

/**
 * The order in which a caller should try `entries`: shuffled for each answer, so that callers are spread evenly, with
 * the entries of the caller's data centre (if given) first.
 */
export const orderForCaller = (
	entries: readonly PlacementEntry[],
	random: Random,
	callerDataCentre?: string,
): readonly PlacementEntry[] => {
	const shuffled = shuffle(entries, random);
	if (callerDataCentre === undefined) {
		return shuffled;
	}

	const isNear = (entry: PlacementEntry): boolean => entry.dataCentre === callerDataCentre;
	return [...shuffled.filter(entry => isNear(entry)), ...shuffled.filter(entry => !isNear(entry))];
};
