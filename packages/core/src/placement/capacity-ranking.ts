/** A stable ranking that puts nodes of high capacity before others. */

import {rankNodes} from './rendezvous.ts';

/** Nodes with at least this share of the highest capacity are preferred to all others. */
const preferredCapacityShare = 0.5;

/** Capacity of a node that does not give one. */
export const defaultCapacity = 1;

/** A node with an optional capacity. */
export type CapacityNode = {
	readonly hostId: string;
	/** Capacity relative to others; above 0. */
	readonly capacity?: number;
};

/** Ranks all `nodes` for `key`, best first: those of high capacity, then the others. */
export const rankByCapacity = <T extends CapacityNode>(key: string, nodes: readonly T[]): readonly T[] => {
	const capacityOf = ({capacity = defaultCapacity}: T): number => capacity;
	const maxCapacity = Math.max(...nodes.map(node => capacityOf(node)));
	const isPreferred = (node: T): boolean => capacityOf(node) >= maxCapacity * preferredCapacityShare;
	const rank = (group: readonly T[]): readonly T[] =>
		rankNodes(key, group.map(node => ({id: node.hostId, weight: 1, node})), group.length).map(({node}) => node);
	return [...rank(nodes.filter(node => isPreferred(node))), ...rank(nodes.filter(node => !isPreferred(node)))];
};
