/** Which entries a service's callers are sent to: a small weighted set in each data centre. */

import type {Random} from '../random.ts';
import {rankNodes} from './rendezvous.ts';

/** An entry host as placement sees it. */
export type PlacementEntry = {
	readonly hostId: string;
	readonly dataCentre: string;
	/** Share of services relative to other entries; above 0. */
	readonly weight: number;
	/** False while the entry is leaving, suspected or gone. */
	readonly usable: boolean;
};

/** Settings of the placement. */
export type PlacementConfig = {
	/**
	 * Fewest entries of a service in each data centre.
	 * @default 2
	 */
	readonly minEntries?: number;
	/**
	 * Slots of backend servers, over the whole service, that one entry in each data centre is reckoned for.
	 * @default 16
	 */
	readonly slotsPerEntry?: number;
};

/** What is known of the size of a service. */
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
 * The entries of a service: the highest ranked usable ones of each data centre.
 *
 * Any usable entry serves any service, so a view that lags sends callers to a working entry as long as one of the
 * entries it names is alive. Empty only when no entry is usable.
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
 * The order in which one caller should try `entries`: a fresh shuffle for each answer, so that callers spread, with
 * entries of the caller's data centre (if it named one) first.
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
